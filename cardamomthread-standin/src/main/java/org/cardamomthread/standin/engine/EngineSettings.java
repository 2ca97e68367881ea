package org.cardamomthread.standin.engine;

/**
 * Holds the speed and the bounds of an engine.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param prefillTokensPerSecond speed of the prompt
 * @param decodeTokensPerSecond speed of the answer of one request while the batch has room
 * @param batchRequests requests beyond which all become slower
 * @param bearableRequests requests that it announces as bearable once warm
 * @param coldBearableRequests requests beyond which it falls over while cold
 * @param coldMs time until a cold engine is warm
 * @param downMs time for which it answers nothing after it fell over
 * @param cacheBlocks bound of the prefix cache
 * @param cacheReportDelayMs delay of cache events
 * @param cacheGapEvery one cache event of so many is lost, 0 for none
 * @param loadLagMs age of the load that it reports
 * @param loadVersionMs time to load a version
 */
public record EngineSettings(
        double prefillTokensPerSecond,
        double decodeTokensPerSecond,
        int batchRequests,
        int bearableRequests,
        int coldBearableRequests,
        long coldMs,
        long downMs,
        int cacheBlocks,
        long cacheReportDelayMs,
        int cacheGapEvery,
        long loadLagMs,
        long loadVersionMs) {}
