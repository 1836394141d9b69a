package org.pimentovale.gateway.port;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.pimentovale.kernel.directory.EndpointRecord;
import org.pimentovale.kernel.serving.ServingConfiguration;

/** Decodes what stored objects hold. Implementations are stateless and thread safe. */
public interface ObjectReader {
    /**
     * Returns the name of the object that holds the configuration.
     *
     * @return the name
     */
    String configurationName();

    /**
     * Decodes a configuration.
     *
     * @param value what the object holds
     * @return the configuration
     * @throws org.pimentovale.error.ServingException with {@link org.pimentovale.error.ErrorCode#OBJECT_DAMAGED}
     */
    ServingConfiguration configuration(JsonNode value);

    /**
     * Decodes an endpoint.
     *
     * @param name the object's name
     * @param value what the object holds
     * @return the endpoint, empty where the entry names none that can be used
     */
    Optional<EndpointRecord> endpoint(String name, JsonNode value);

    /**
     * Decodes an instance.
     *
     * @param name the object's name
     * @param value what the object holds
     * @return the instance, empty where the entry cannot be read
     */
    Optional<InstanceRecord> instance(String name, JsonNode value);
}
