package org.cardamomthread.daemon.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.view.generated.ServiceLoad;

/** Measures what this gateway sends to each service. Used by one thread at a time. */
final class ServiceLoads {

    /** Prompts from this length on are read for longer than the rest of a first token takes. */
    private static final long LONG_PROMPT_TOKENS = 4_000;

    /** How fast the least time of a token gives way to longer ones, for each measurement. */
    private static final double RISE = 1.01;

    private final TimeSource timeSource;
    private final Map<ServiceId, Load> loads = new HashMap<>();

    /** Holds the figures of one service. */
    private static final class Load {
        private final DemandMeter promptTokens;
        private int inFlight;
        private double msPerToken;

        Load(long nowMs) {
            promptTokens = new DemandMeter(nowMs);
        }
    }

    ServiceLoads(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    void begin(ServiceId service, long promptTokens) {
        Load load = loadOf(service);
        load.inFlight++;
        load.promptTokens.add(promptTokens, timeSource.monotonicMs());
    }

    void end(ServiceId service) {
        loadOf(service).inFlight--;
    }

    /** Takes the time to the first token of a prompt in. */
    void recordFirstToken(ServiceId service, long promptTokens, long elapsedMs) {
        if (promptTokens < LONG_PROMPT_TOKENS) {
            return;
        }
        Load load = loadOf(service);
        double measured = (double) elapsedMs / promptTokens;
        load.msPerToken =
                load.msPerToken == 0 ? measured : Math.min(load.msPerToken * RISE, measured);
    }

    List<ServiceLoad> report() {
        long nowMs = timeSource.monotonicMs();
        List<ServiceLoad> messages = new ArrayList<>();
        loads.forEach(
                (service, load) ->
                        messages.add(
                                ServiceLoad.newBuilder()
                                        .setService(service.value())
                                        .setInFlight(load.inFlight)
                                        .setPromptTokensPerS(load.promptTokens.ratePerS(nowMs))
                                        .setMsPerPromptToken(load.msPerToken)
                                        .build()));
        return messages;
    }

    private Load loadOf(ServiceId service) {
        return loads.computeIfAbsent(service, id -> new Load(timeSource.monotonicMs()));
    }
}
