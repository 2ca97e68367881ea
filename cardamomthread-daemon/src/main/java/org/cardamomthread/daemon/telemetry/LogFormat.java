package org.cardamomthread.daemon.telemetry;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.joran.JoranConfigurator;
import ch.qos.logback.core.joran.spi.JoranException;
import java.net.URL;
import org.slf4j.LoggerFactory;

/** Defines the log formats and configures the process to use one of them. */
public enum LogFormat {
    /** One line of text per event. */
    TEXT("logback-text.xml"),
    /** One JSON object per event. */
    JSON("logback-json.xml");

    private final String resource;

    LogFormat(String resource) {
        this.resource = resource;
    }

    /**
     * Configures the process to log in this format. Must be called once, before the node starts.
     */
    public void apply() {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        URL configuration = LogFormat.class.getClassLoader().getResource(resource);
        context.reset();
        JoranConfigurator configurator = new JoranConfigurator();
        configurator.setContext(context);
        try {
            configurator.doConfigure(configuration);
        } catch (JoranException failure) {
            throw new IllegalStateException(
                    "log configuration " + resource + " is invalid", failure);
        }
    }
}
