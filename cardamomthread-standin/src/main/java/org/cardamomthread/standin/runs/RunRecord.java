package org.cardamomthread.standin.runs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cardamomthread.standin.http.Exchange;
import org.cardamomthread.standin.http.Json;

/**
 * Records the requests that an endpoint ran, as {@code GET /v1/record} shows them.
 *
 * <p>Invariant: no request is left out, also not one with a key that ran before. Used on the one
 * thread of the server only.
 */
public final class RunRecord {

    /**
     * Describes one run.
     *
     * @param requestId the request's identifier
     * @param key the idempotency key, empty if there is none
     * @param service the service that the node named
     * @param version the version that the node named
     * @param path the path
     * @param atMs wall-clock time of the start
     */
    public record Run(
            String requestId, String key, String service, String version, String path, long atMs) {}

    private final List<Run> runs = new ArrayList<>();
    private final Map<String, Integer> runsByKey = new TreeMap<>();
    private int running;
    private int peakRunning;

    /**
     * Records the start of a request.
     *
     * @param exchange the request
     * @param atMs wall-clock time
     */
    public void started(Exchange exchange, long atMs) {
        String key = exchange.header("Idempotency-Key");
        runs.add(
                new Run(
                        exchange.requestId(),
                        key,
                        exchange.header("X-Service"),
                        exchange.header("X-Version"),
                        exchange.path(),
                        atMs));
        if (!key.isEmpty()) {
            runsByKey.merge(key, 1, Integer::sum);
        }
        running++;
        peakRunning = Math.max(peakRunning, running);
    }

    /** Records the end of a request. */
    public void ended() {
        running--;
    }

    /**
     * Returns how many requests run now.
     *
     * @return the number
     */
    public int running() {
        return running;
    }

    /**
     * Returns how many requests ran so far.
     *
     * @return the number
     */
    public int total() {
        return runs.size();
    }

    /**
     * Renders the record.
     *
     * @return runs, runsByKey, running and peakRunning
     */
    public ObjectNode toJson() {
        ObjectNode document = Json.object();
        document.putPOJO("runs", runs);
        document.putPOJO("runsByKey", runsByKey);
        return document.put("running", running).put("peakRunning", peakRunning);
    }
}
