package org.pimentovale.tool;

/** The format in which a command prints its result. Immutable and thread safe. */
enum OutputFormat {
    /** Lines for people. */
    TEXT,
    /** One JSON value for programs. */
    JSON
}
