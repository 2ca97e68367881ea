package org.cardamomthread.configuration.settings;

/** The form of log lines. */
public enum LogFormat {
    /** Lines for people. */
    TEXT,
    /** One JSON object a line. */
    JSON
}
