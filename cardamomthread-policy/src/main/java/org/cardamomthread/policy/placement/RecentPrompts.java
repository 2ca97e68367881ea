package org.cardamomthread.policy.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers to which endpoints this gateway has sent the beginnings of prompts, so that their
 * caches are used. Not thread-safe.
 *
 * <p>Invariants: at most {@value #MAX_BEGINNINGS} beginnings are held, of which the one used least
 * recently is dropped first, each with its {@value #MAX_ENDPOINTS} latest endpoints.
 */
public final class RecentPrompts {

    /** Time for which an endpoint is expected to keep a beginning in its cache. */
    static final long CACHED_MS = 10_000;

    static final int MAX_BEGINNINGS = 2_048;

    /** Endpoints per beginning: more than the rate of the hottest prompts needs. */
    static final int MAX_ENDPOINTS = 8;

    private final Map<Long, Sends> sendsByBeginning =
            new LinkedHashMap<>(64, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Sends> eldest) {
                    return size() > MAX_BEGINNINGS;
                }
            };

    /** Holds the latest endpoints of one beginning and when it was sent to each of them. */
    private static final class Sends {
        private final EndpointLoad[] endpoints = new EndpointLoad[MAX_ENDPOINTS];
        private final long[] sentMs = new long[MAX_ENDPOINTS];

        void record(EndpointLoad endpoint, long nowMs) {
            int slot = 0;
            for (int i = 0; i < MAX_ENDPOINTS; i++) {
                if (endpoints[i] == endpoint || endpoints[i] == null) {
                    slot = i;
                    break;
                }
                if (sentMs[i] < sentMs[slot]) {
                    slot = i;
                }
            }
            endpoints[slot] = endpoint;
            sentMs[slot] = nowMs;
        }
    }

    /** Holds the prompt tokens that endpoints are expected to have cached. Immutable. */
    public static final class CachedTokens {

        /** No endpoint has a part of the prompt. */
        public static final CachedTokens NONE = new CachedTokens();

        private final EndpointLoad[] endpoints = new EndpointLoad[MAX_ENDPOINTS];
        private final long[] tokens = new long[MAX_ENDPOINTS];
        private int count;

        private CachedTokens() {}

        private void add(EndpointLoad endpoint, long cachedTokens) {
            if (count < MAX_ENDPOINTS && at(endpoint) == 0) {
                endpoints[count] = endpoint;
                tokens[count] = cachedTokens;
                count++;
            }
        }

        /**
         * Returns the prompt tokens that an endpoint is expected to have cached.
         *
         * @param endpoint the load of the endpoint
         * @return the number of tokens, 0 if none
         */
        public long at(EndpointLoad endpoint) {
            for (int i = 0; i < count; i++) {
                if (endpoints[i] == endpoint) {
                    return tokens[i];
                }
            }
            return 0;
        }
    }

    /**
     * Returns what endpoints are expected to have cached of a prompt.
     *
     * @param prompt the prompt
     * @param nowMs the current time, in monotonic milliseconds
     * @return the cached tokens
     */
    public CachedTokens find(PromptChain prompt, long nowMs) {
        CachedTokens cached = null;
        for (int part = prompt.size() - 1; part >= 0; part--) {
            Sends sends = sendsByBeginning.get(prompt.hash(part));
            if (sends == null) {
                continue;
            }
            cached = cached == null ? new CachedTokens() : cached;
            for (int i = 0; i < MAX_ENDPOINTS && sends.endpoints[i] != null; i++) {
                if (nowMs - sends.sentMs[i] <= CACHED_MS) {
                    cached.add(sends.endpoints[i], prompt.tokens(part));
                }
            }
        }
        return cached == null ? CachedTokens.NONE : cached;
    }

    /**
     * Records that a prompt is sent to an endpoint.
     *
     * @param prompt the prompt
     * @param endpoint the load of the endpoint
     * @param nowMs the current time, in monotonic milliseconds
     */
    public void record(PromptChain prompt, EndpointLoad endpoint, long nowMs) {
        for (int part = 0; part < prompt.size(); part++) {
            sendsByBeginning
                    .computeIfAbsent(prompt.hash(part), hash -> new Sends())
                    .record(endpoint, nowMs);
        }
    }
}
