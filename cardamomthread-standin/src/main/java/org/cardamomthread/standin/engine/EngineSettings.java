package org.cardamomthread.standin.engine;

/**
 * Holds the speed, limits and delays of a simulated engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param prefillTokensPerSecond prompt tokens processed per second
 * @param decodeTokensPerSecond tokens generated per second and request while the batch is not full
 * @param batchSize number of running requests above which all of them slow down
 * @param warmConcurrency announced limit of concurrent requests once warm
 * @param coldConcurrency limit of concurrent requests while cold; the engine fails if it is
 *     exceeded
 * @param coldMs time for which the engine is cold after a start
 * @param downMs time for which it fails all requests after a cold overload
 * @param maxCacheBlocks capacity of the prefix cache in blocks
 * @param cacheReportDelayMs delay before cache events are reported
 * @param cacheEventLossInterval every n-th cache event is lost; 0 for none
 * @param loadLagMs age of the reported load
 * @param loadVersionMs time to load a version
 */
public record EngineSettings(
        double prefillTokensPerSecond,
        double decodeTokensPerSecond,
        int batchSize,
        int warmConcurrency,
        int coldConcurrency,
        long coldMs,
        long downMs,
        int maxCacheBlocks,
        long cacheReportDelayMs,
        int cacheEventLossInterval,
        long loadLagMs,
        long loadVersionMs) {}
