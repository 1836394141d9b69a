package org.pimentovale.plugin;

/** An extension that is selected by name in the settings or tables. Implementations are thread safe. */
public interface Plugin {
    /**
     * Returns the name by which the plug-in is selected.
     *
     * @return the name, in lower case with hyphens
     */
    String name();
}
