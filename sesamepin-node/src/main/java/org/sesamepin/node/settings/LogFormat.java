package org.sesamepin.node.settings;

/** Format of the log lines. */
public enum LogFormat {
    /** One line of {@code key=value} pairs. */
    TEXT,
    /** One JSON object per line. */
    JSON
}
