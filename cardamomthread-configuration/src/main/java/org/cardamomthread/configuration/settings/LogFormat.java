package org.cardamomthread.configuration.settings;

/** The format of log lines. */
public enum LogFormat {
    /** Plain text. */
    TEXT,
    /** One JSON object per line. */
    JSON
}
