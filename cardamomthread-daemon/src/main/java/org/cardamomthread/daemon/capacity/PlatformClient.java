package org.cardamomthread.daemon.capacity;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Reads from the platform's API. Safe for use by several threads. */
public interface PlatformClient extends AutoCloseable {

    /**
     * Lists the notices of reclaim.
     *
     * @param afterSequence only those with a higher number
     * @return completes with the notices in the order of their numbers
     */
    CompletableFuture<NoticePage> listNotices(long afterSequence);

    /**
     * Lists the prices of hosts.
     *
     * @return completes with the prices
     */
    CompletableFuture<List<HostPrice>> listPrices();

    @Override
    void close();

    /**
     * Holds some notices.
     *
     * @param notices the notices
     * @param lastSequence the highest number among them, or the number asked for if there are none
     */
    record NoticePage(List<ReclaimNotice> notices, long lastSequence) {}
}
