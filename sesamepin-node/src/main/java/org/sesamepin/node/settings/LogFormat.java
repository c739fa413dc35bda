package org.sesamepin.node.settings;

/** Form of the log lines. */
public enum LogFormat {
    /** One line of {@code key=value} pairs. */
    TEXT,
    /** One JSON object a line. */
    JSON
}
