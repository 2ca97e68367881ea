package org.cardamomthread.daemon.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.view.generated.ServiceLoad;

/** Measures the load that this gateway sends to each service. Not thread-safe. */
final class ServiceLoadTracker {

    /**
     * Minimum prompt length for a time measurement: from this length on, prefill takes up most of
     * the time to the first token.
     */
    private static final long MIN_SAMPLED_PROMPT_TOKENS = 4_000;

    /** Factor by which the tracked minimum time per token may rise with each measurement. */
    private static final double MINIMUM_RISE_FACTOR = 1.01;

    private final TimeSource timeSource;
    private final Map<ServiceId, LoadStats> statsByService = new HashMap<>();

    /** Holds the measurements of one service. */
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
        LoadStats stats = statsFor(service);
        stats.inFlight++;
        stats.promptTokens.add(promptTokens, timeSource.monotonicMs());
    }

    void recordEnd(ServiceId service) {
        statsFor(service).inFlight--;
    }

    /** Records the time to the first token of a prompt; short prompts are ignored. */
    void recordFirstToken(ServiceId service, long promptTokens, long elapsedMs) {
        if (promptTokens < MIN_SAMPLED_PROMPT_TOKENS) {
            return;
        }
        LoadStats stats = statsFor(service);
        double sample = (double) elapsedMs / promptTokens;
        stats.minMsPerToken =
                stats.minMsPerToken == 0
                        ? sample
                        : Math.min(stats.minMsPerToken * MINIMUM_RISE_FACTOR, sample);
    }

    List<ServiceLoad> snapshot() {
        long nowMs = timeSource.monotonicMs();
        List<ServiceLoad> messages = new ArrayList<>();
        statsByService.forEach(
                (service, stats) ->
                        messages.add(
                                ServiceLoad.newBuilder()
                                        .setService(service.value())
                                        .setInFlight(stats.inFlight)
                                        .setPromptTokensPerS(stats.promptTokens.ratePerS(nowMs))
                                        .setMsPerPromptToken(stats.minMsPerToken)
                                        .build()));
        return messages;
    }

    private LoadStats statsFor(ServiceId service) {
        return statsByService.computeIfAbsent(
                service, id -> new LoadStats(timeSource.monotonicMs()));
    }
}
