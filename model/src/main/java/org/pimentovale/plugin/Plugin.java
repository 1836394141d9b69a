package org.pimentovale.plugin;

/** Something that is chosen by its name in settings or tables. Implementations are thread safe. */
public interface Plugin {
    /**
     * Returns the name under which the plug-in is registered.
     *
     * @return lower case with hyphens
     */
    String name();
}
