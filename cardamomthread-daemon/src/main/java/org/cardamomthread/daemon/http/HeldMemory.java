package org.cardamomthread.daemon.http;

/**
 * Counts what is held for one connection.
 *
 * <p>Thread-safe: all counts are guarded by the lock of the {@link ClientMemory}.
 */
final class HeldMemory {

    /** Bytes that count as progress; fewer do not, so that single bytes do not keep much held. */
    private static final int PROGRESS_BYTES = 4 * 1024;

    private final ClientMemory memory;
    private final Runnable evict;
    private long receivedBytes;
    private long servedBytes;
    private long unwrittenBytes;
    private long countedBytes;
    private long bytesSinceProgress;
    private boolean isServing;
    private volatile long lastProgressMs;

    HeldMemory(ClientMemory memory, Runnable evict, long nowMs) {
        this.memory = memory;
        this.evict = evict;
        lastProgressMs = nowMs;
    }

    /** Sets the memory of heads, bodies and pipelined parts that no handler has taken. */
    void setReceivedBytes(long bytes) {
        memory.update(this, () -> receivedBytes = bytes);
    }

    /** Counts a request that a handler has taken, until {@link #endServing()}. */
    void beginServing(long requestBytes) {
        markProgress();
        memory.update(
                this,
                () -> {
                    isServing = true;
                    servedBytes = requestBytes;
                });
    }

    void endServing() {
        markProgress();
        memory.update(
                this,
                () -> {
                    isServing = false;
                    servedBytes = 0;
                });
    }

    /** Counts a part of a response until {@link #removeUnwritten(long)}. */
    void addUnwritten(long bytes) {
        memory.update(this, () -> unwrittenBytes += bytes);
    }

    void removeUnwritten(long bytes) {
        markProgress();
        memory.update(this, () -> unwrittenBytes -= bytes);
    }

    /** Counts received bytes as progress once they are enough. Called by one thread only. */
    void addProgress(long bytes) {
        bytesSinceProgress += bytes;
        if (bytesSinceProgress >= PROGRESS_BYTES) {
            bytesSinceProgress = 0;
            markProgress();
        }
    }

    long lastProgressMs() {
        return lastProgressMs;
    }

    void close() {
        memory.close(this);
    }

    void evict() {
        evict.run();
    }

    /** Must be called with the lock of the memory held, as all below. */
    long evictableBytes() {
        long bytes = receivedBytes + unwrittenBytes;
        return isServing ? bytes : bytes + ClientMemory.CONNECTION_BYTES;
    }

    long countedBytes() {
        return countedBytes;
    }

    /** Counts anew and returns the difference to the last count. */
    long recount() {
        long before = countedBytes;
        countedBytes = ClientMemory.CONNECTION_BYTES + receivedBytes + servedBytes + unwrittenBytes;
        return countedBytes - before;
    }

    private void markProgress() {
        lastProgressMs = memory.nowMs();
    }
}
