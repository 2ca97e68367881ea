package org.cardamomthread.standin.runs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cardamomthread.standin.http.Exchange;
import org.cardamomthread.standin.http.Json;

/**
 * Records the requests that an endpoint ran, for {@code GET /v1/record}.
 *
 * <p>Every run is recorded, including repeated runs with the same idempotency key. Confined to the
 * event loop thread of the server.
 */
public final class RunRecord {

    /**
     * One run of a request.
     *
     * @param requestId identifier of the request
     * @param key idempotency key; empty if there is none
     * @param service value of the {@code X-Service} header
     * @param version value of the {@code X-Version} header
     * @param path requested path
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
    public void recordStart(Exchange exchange, long atMs) {
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
    public void recordEnd() {
        running--;
    }

    /**
     * Returns the number of requests now running.
     *
     * @return a number, at least 0
     */
    public int running() {
        return running;
    }

    /**
     * Returns the number of requests started so far.
     *
     * @return a number, at least 0
     */
    public int total() {
        return runs.size();
    }

    /**
     * Returns the record as JSON.
     *
     * @return an object with {@code runs}, {@code runsByKey}, {@code running} and {@code
     *     peakRunning}
     */
    public ObjectNode toJson() {
        ObjectNode document = Json.object();
        document.putPOJO("runs", runs);
        document.putPOJO("runsByKey", runsByKey);
        return document.put("running", running).put("peakRunning", peakRunning);
    }
}
