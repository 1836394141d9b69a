package org.pimentovale.gateway.port;

import com.fasterxml.jackson.databind.JsonNode;
import org.pimentovale.kernel.directory.EndpointRecord;
import org.pimentovale.kernel.quarantine.SuspectKey;
import org.pimentovale.kernel.rollout.RolloutOrder;
import org.pimentovale.kernel.serving.ServingConfiguration;

/** Decodes the content of stored objects. Implementations are stateless and thread safe. */
public interface ObjectReader {
    /**
     * Returns the name of the object that holds the configuration.
     *
     * @return the object's name
     */
    String configurationName();

    /**
     * Decodes a configuration.
     *
     * @param value the object's content
     * @return the configuration
     * @throws org.pimentovale.error.ServingException with {@link org.pimentovale.error.ErrorCode#OBJECT_DAMAGED}
     *     if the content is invalid
     */
    ServingConfiguration configuration(JsonNode value);

    /**
     * Decodes an endpoint.
     *
     * @param name the object's name
     * @param value the object's content
     * @return the endpoint
     * @throws org.pimentovale.error.ServingException with {@link org.pimentovale.error.ErrorCode#OBJECT_DAMAGED}
     *     if the object does not describe a usable one
     */
    EndpointRecord endpoint(String name, JsonNode value);

    /**
     * Decodes an instance.
     *
     * @param name the object's name
     * @param value the object's content
     * @return the instance
     * @throws org.pimentovale.error.ServingException with {@link org.pimentovale.error.ErrorCode#OBJECT_DAMAGED}
     *     if the object does not describe one
     */
    InstanceRecord instance(String name, JsonNode value);

    /**
     * Decodes a quarantined key.
     *
     * @param value the object's content
     * @return the key
     * @throws org.pimentovale.error.ServingException with {@link org.pimentovale.error.ErrorCode#OBJECT_DAMAGED}
     *     if the object does not describe one
     */
    SuspectKey quarantine(JsonNode value);

    /**
     * Decodes an order for a roll-out.
     *
     * @param name the object's name
     * @param value the object's content with its status
     * @param revision the store's revision of the object
     * @return the order
     * @throws org.pimentovale.error.ServingException with {@link org.pimentovale.error.ErrorCode#OBJECT_DAMAGED}
     *     if the object does not describe one
     */
    RolloutOrder rollout(String name, JsonNode value, long revision);
}
