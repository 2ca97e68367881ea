package org.cardamomthread.daemon.telemetry;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.joran.JoranConfigurator;
import ch.qos.logback.core.joran.spi.JoranException;
import java.net.URL;
import org.slf4j.LoggerFactory;

/** Names the forms of the log and puts one in force for the process. */
public enum LogFormat {
    /** One line of text an event. */
    TEXT("logback-text.xml"),
    /** One JSON object an event. */
    JSON("logback-json.xml");

    private final String resource;

    LogFormat(String resource) {
        this.resource = resource;
    }

    /** Puts this form in force; called once, before the node starts. */
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
                    "log configuration " + resource + " must be well-formed", failure);
        }
    }
}
