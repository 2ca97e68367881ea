package org.cardamomthread.daemon.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.view.generated.ServiceLoad;

/** Measures what this gateway sends to each service. Used by one thread at a time. */
final class ServiceLoadTracker {

    /** Prompts from this length on are read for longer than the rest of a first token takes. */
    private static final long MIN_SAMPLED_PROMPT_TOKENS = 4_000;

    /** How fast the least time of a token gives way to longer ones, for each measurement. */
    private static final double MINIMUM_RISE_FACTOR = 1.01;

    private final TimeSource timeSource;
    private final Map<ServiceId, LoadStats> statsByService = new HashMap<>();

    /** Holds the figures of one service. */
    private static final class LoadStats {
        private final DecayingRate promptTokens;
        private int inFlight;
        private double minMsPerToken;

        LoadStats(long nowMs) {
            promptTokens = new DecayingRate(nowMs);
        }
    }

    ServiceLoadTracker(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    void recordStart(ServiceId service, long promptTokens) {
        LoadStats load = statsFor(service);
        load.inFlight++;
        load.promptTokens.add(promptTokens, timeSource.monotonicMs());
    }

    void recordEnd(ServiceId service) {
        statsFor(service).inFlight--;
    }

    /** Takes the time to the first token of a prompt in. */
    void recordFirstToken(ServiceId service, long promptTokens, long elapsedMs) {
        if (promptTokens < MIN_SAMPLED_PROMPT_TOKENS) {
            return;
        }
        LoadStats load = statsFor(service);
        double measured = (double) elapsedMs / promptTokens;
        load.minMsPerToken =
                load.minMsPerToken == 0
                        ? measured
                        : Math.min(load.minMsPerToken * MINIMUM_RISE_FACTOR, measured);
    }

    List<ServiceLoad> snapshot() {
        long nowMs = timeSource.monotonicMs();
        List<ServiceLoad> messages = new ArrayList<>();
        statsByService.forEach(
                (service, load) ->
                        messages.add(
                                ServiceLoad.newBuilder()
                                        .setService(service.value())
                                        .setInFlight(load.inFlight)
                                        .setPromptTokensPerS(load.promptTokens.ratePerS(nowMs))
                                        .setMsPerPromptToken(load.minMsPerToken)
                                        .build()));
        return messages;
    }

    private LoadStats statsFor(ServiceId service) {
        return statsByService.computeIfAbsent(
                service, id -> new LoadStats(timeSource.monotonicMs()));
    }
}
