package org.pimentovale.plugin;

import java.util.Map;
import java.util.ServiceLoader;
import java.util.Set;
import java.util.TreeMap;
import org.pimentovale.error.ErrorCode;
import org.pimentovale.error.ServingException;

/**
 * Holds the plug-ins of one type, as found by {@link ServiceLoader}.
 *
 * <p>Invariant: each name identifies one plug-in; if several have the same name, the first one found is used. Immutable
 * after construction and thread safe.
 *
 * @param <T> the plug-in type
 */
public final class PluginRegistry<T extends Plugin> {
    private final Class<T> pluginType;
    private final Map<String, T> plugins = new TreeMap<>();

    /**
     * Loads the registered plug-ins of a type.
     *
     * @param pluginType the interface that the plug-ins implement
     */
    public PluginRegistry(Class<T> pluginType) {
        this.pluginType = pluginType;
        ServiceLoader.load(pluginType).forEach(plugin -> plugins.putIfAbsent(plugin.name(), plugin));
    }

    /**
     * Returns the plug-in with a name.
     *
     * @param name the plug-in's name
     * @return the plug-in
     * @throws ServingException with {@link ErrorCode#PLUGIN_UNKNOWN} if no plug-in has the name
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
     * Returns the names of the registered plug-ins.
     *
     * @return the names in alphabetical order
     */
    public Set<String> names() {
        return plugins.keySet();
    }
}
