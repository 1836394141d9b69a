package org.pimentovale.plugin;

import java.util.Map;
import java.util.ServiceLoader;
import java.util.Set;
import java.util.TreeMap;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;

/**
 * The plug-ins of one family, which register themselves through {@link ServiceLoader}.
 *
 * <p>Invariant: a name denotes one plug-in. Immutable after construction and thread safe.
 *
 * @param <T> the family
 */
public final class PluginRegistry<T extends Plugin> {
    private final Class<T> pluginType;
    private final Map<String, T> plugins = new TreeMap<>();

    /**
     * Collects the registered plug-ins of a family.
     *
     * @param pluginType the interface of the family
     */
    public PluginRegistry(Class<T> pluginType) {
        this.pluginType = pluginType;
        ServiceLoader.load(pluginType).forEach(plugin -> plugins.putIfAbsent(plugin.name(), plugin));
    }

    /**
     * Returns a plug-in.
     *
     * @param name its name
     * @return the plug-in
     * @throws ServingException with {@link ErrorCode#PLUGIN_UNKNOWN} where none has the name
     */
    public T get(String name) {
        T plugin = plugins.get(name);
        if (plugin == null) {
            throw ServingException.notRun(
                    ErrorCode.PLUGIN_UNKNOWN, pluginType.getSimpleName() + " " + name + ", registered: " + names());
        }
        return plugin;
    }

    /**
     * Returns the registered names.
     *
     * @return the names, sorted
     */
    public Set<String> names() {
        return plugins.keySet();
    }
}
