package org.cardamomthread.daemon.telemetry;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.joran.spi.ConsoleTarget;
import java.util.List;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Defines the log formats and configures the process to use one of them.
 *
 * <p>The configuration is made in code, since parsing it from XML takes a fifth of the time that a
 * node needs to start.
 */
public enum LogFormat {
    /** One line of text per event, on standard error. */
    TEXT(LogFormat::createTextAppender),
    /** One JSON object per event, on standard output. */
    JSON(LogFormat::createJsonAppender);

    private static final String TEXT_PATTERN =
            "%d{\"yyyy-MM-dd'T'HH:mm:ss.SSSXXX\"} %-5level %logger{0} %kvp{DOUBLE} %msg%n";

    /** Number of events that may wait to be written before further ones are dropped. */
    private static final int QUEUE_SIZE = 2_048;

    /** Loggers of libraries, which are verbose below the level of warnings. */
    private static final List<String> LIBRARY_LOGGERS = List.of("io.netty", "org.asynchttpclient");

    private final Function<LoggerContext, Appender<ILoggingEvent>> appenderFactory;

    LogFormat(Function<LoggerContext, Appender<ILoggingEvent>> appenderFactory) {
        this.appenderFactory = appenderFactory;
    }

    /**
     * Configures the process to log in this format. Must be called once, before the node starts.
     */
    public void apply() {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        configure(context);
    }

    /**
     * Adds loggers and appenders of this format to a context that has none.
     *
     * @param context the context to configure
     */
    void configure(LoggerContext context) {
        LIBRARY_LOGGERS.forEach(name -> context.getLogger(name).setLevel(Level.WARN));
        ch.qos.logback.classic.Logger root = context.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.addAppender(appenderFactory.apply(context));
    }

    private static Appender<ILoggingEvent> createTextAppender(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(TEXT_PATTERN);
        return createQueue(
                context, createConsoleAppender(context, ConsoleTarget.SystemErr, encoder));
    }

    private static Appender<ILoggingEvent> createJsonAppender(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithContext(false);
        encoder.setWithSequenceNumber(false);
        encoder.setWithMarkers(false);
        encoder.setWithArguments(false);
        encoder.setWithMessage(false);
        encoder.setWithFormattedMessage(true);
        return createQueue(
                context, createConsoleAppender(context, ConsoleTarget.SystemOut, encoder));
    }

    /** Returns an appender that drops events instead of waiting until the output is read. */
    private static Appender<ILoggingEvent> createQueue(
            LoggerContext context, Appender<ILoggingEvent> console) {
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(context);
        queue.setQueueSize(QUEUE_SIZE);
        queue.setDiscardingThreshold(0);
        queue.setNeverBlock(true);
        queue.addAppender(console);
        queue.start();
        return queue;
    }

    private static Appender<ILoggingEvent> createConsoleAppender(
            LoggerContext context, ConsoleTarget target, Encoder<ILoggingEvent> encoder) {
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setTarget(target.getName());
        console.setEncoder(encoder);
        console.start();
        return console;
    }
}
