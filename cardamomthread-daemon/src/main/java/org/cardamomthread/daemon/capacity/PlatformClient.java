package org.cardamomthread.daemon.capacity;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Reads reclaim notices and prices from the platform's API. Thread-safe. */
public interface PlatformClient extends AutoCloseable {

    /**
     * Lists the reclaim notices that follow a sequence number.
     *
     * @param afterSequence notices up to this sequence number are left out
     * @return completes with the notices in ascending order of their sequence numbers
     */
    CompletableFuture<NoticePage> listNotices(long afterSequence);

    /**
     * Lists the current prices of hosts.
     *
     * @return completes with the prices
     */
    CompletableFuture<List<HostPrice>> listPrices();

    @Override
    void close();

    /**
     * A page of reclaim notices.
     *
     * @param notices the notices
     * @param lastSequence the highest sequence number among them, or the requested one if there are
     *     none
     */
    record NoticePage(List<ReclaimNotice> notices, long lastSequence) {}
}
