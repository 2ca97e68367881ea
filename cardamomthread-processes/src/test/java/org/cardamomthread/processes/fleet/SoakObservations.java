package org.cardamomthread.processes.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Records the observations of callers and operators and checks them against the runs of endpoints.
 *
 * <p>Safe for use by several threads.
 */
final class SoakObservations {

    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);
    private static final long REVOCATION_MS = 5_000;

    private final Map<String, SentRequest> requests = new ConcurrentHashMap<>();
    private final Map<String, Long> revokedAtMs = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();
    private final AtomicLong newestAcknowledgedVersion = new AtomicLong();
    private final AtomicLong responseCount = new AtomicLong();

    /** A request of a caller; status 0 means that no response was received. */
    record SentRequest(String path, String key, long sentMs, int status) {}

    void recordAcknowledgement(long version) {
        newestAcknowledgedVersion.accumulateAndGet(version, Math::max);
    }

    long newestAcknowledgedVersion() {
        return newestAcknowledgedVersion.get();
    }

    long responseCount() {
        return responseCount.get();
    }

    /** Records that a document without the given key has been acknowledged. */
    void recordRevocation(String key) {
        revokedAtMs.putIfAbsent(key, System.currentTimeMillis());
    }

    void addViolation(String text) {
        violations.add(text);
    }

    void recordResponse(String id, String path, String key, long sentMs, int status, String body) {
        requests.put(id, new SentRequest(path, key, sentMs, status));
        if (status != 200) {
            return;
        }
        responseCount.incrementAndGet();
        String expected =
                path.startsWith("/stream/")
                        ? RunnerStandIn.expectedStream(id)
                        : RunnerStandIn.expectedBody(id);
        if (!body.equals(expected)) {
            addViolation("request " + id + " to " + path + " was answered with: " + body);
        }
    }

    void recordRead(long versionBefore, long version) {
        if (version < versionBefore) {
            addViolation(
                    "version "
                            + version
                            + " was read after "
                            + versionBefore
                            + " was acknowledged");
        }
    }

    /** Returns a description of each violated guarantee. */
    List<String> findViolations(List<RunnerStandIn> runners) {
        List<String> found = new ArrayList<>(violations);
        requests.forEach((id, sent) -> checkRequest(id, sent, collectRuns(id, runners), found));
        return found;
    }

    private void checkRequest(String id, SentRequest sent, List<String> runs, List<String> found) {
        boolean isOnce = sent.path().contains("once");
        if (isOnce && runs.size() > 1) {
            found.add("request " + id + " to " + sent.path() + " ran " + runs.size() + " times");
        }
        if (isOnce && NOT_RUN_STATUSES.contains(sent.status()) && !runs.isEmpty()) {
            found.add("request " + id + " was answered " + sent.status() + " and ran");
        }
        if (runs.stream().anyMatch(account -> !account.equals("bars"))) {
            found.add("request " + id + " ran for the accounts " + runs);
        }
        Long revoked = revokedAtMs.get(sent.key());
        boolean isAfterRevocation = revoked != null && sent.sentMs() > revoked + REVOCATION_MS;
        if (isAfterRevocation && !runs.isEmpty()) {
            found.add("request " + id + " ran though its key had been revoked");
        }
    }

    private static List<String> collectRuns(String id, List<RunnerStandIn> runners) {
        List<String> runs = new ArrayList<>();
        runners.forEach(runner -> runs.addAll(runner.runs().getOrDefault(id, List.of())));
        return runs;
    }
}
