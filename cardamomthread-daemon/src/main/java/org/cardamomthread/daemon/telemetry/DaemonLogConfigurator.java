package org.cardamomthread.daemon.telemetry;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.core.spi.ContextAwareBase;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Configures logging at the first use of a logger in the daemon's own process; leaves it to
 * configuration files elsewhere, such as in tests. Found with {@link java.util.ServiceLoader}.
 * Thread-safe.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class DaemonLogConfigurator extends ContextAwareBase implements Configurator {

    private static final AtomicBoolean ENABLED = new AtomicBoolean();
    private static volatile LoggerContext configuredContext;

    /** Creates an instance; called by the {@link java.util.ServiceLoader}. */
    public DaemonLogConfigurator() {}

    /**
     * Makes this process log by code instead of files. Must be called before any logger is used.
     */
    public static void enable() {
        ENABLED.set(true);
    }

    /** Writes what is still queued, for at most a second, and stops logging if it has begun. */
    public static void stop() {
        LoggerContext context = configuredContext;
        if (context != null) {
            context.stop();
        }
    }

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        if (!ENABLED.get()) {
            return ExecutionStatus.NEUTRAL;
        }
        LogFormat.TEXT.configure(context);
        configuredContext = context;
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}
