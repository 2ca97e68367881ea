package org.cardamomthread.standin.service;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.standin.announce.Announcements;
import org.cardamomthread.standin.announce.EndpointProfile;
import org.cardamomthread.standin.fault.Fault;
import org.cardamomthread.standin.fault.FaultKind;
import org.cardamomthread.standin.fault.FaultPlan;
import org.cardamomthread.standin.http.Exchange;
import org.cardamomthread.standin.http.ExchangeHandler;
import org.cardamomthread.standin.http.Json;
import org.cardamomthread.standin.runs.RunRecord;

/**
 * Simulates a plain service, such as one for bookings, that runs and records every request.
 *
 * <p>It does not deduplicate requests by idempotency key, so that tests can count repeated runs.
 * Confined to the event loop thread of the server.
 */
public final class PlainService implements ExchangeHandler {

    private static final int OK = 200;
    private static final int FAILED = 500;

    private final EndpointProfile profile;
    private final long workMs;
    private final int maxConcurrency;
    private final TimeSource timeSource;
    private final Runnable onStateChange;
    private final FaultPlan faults;
    private final RunRecord record = new RunRecord();
    private boolean isLeaving;

    /**
     * Creates a service.
     *
     * @param profile the properties that it announces
     * @param workMs duration of a request
     * @param maxConcurrency announced limit of concurrent requests
     * @param timeSource the clock for timestamps and the age of faults
     * @param onStateChange called after each change of the announced state
     */
    public PlainService(
            EndpointProfile profile,
            long workMs,
            int maxConcurrency,
            TimeSource timeSource,
            Runnable onStateChange) {
        this.profile = profile;
        this.workMs = workMs;
        this.maxConcurrency = maxConcurrency;
        this.timeSource = timeSource;
        this.onStateChange = onStateChange;
        faults = new FaultPlan(timeSource);
    }

    @Override
    public void handle(Exchange exchange) throws IOException {
        if (faults.isAddRequest(exchange)) {
            faults.add(exchange).ifPresent(this::changeState);
        } else if (faults.clearIfRequested(exchange)) {
            return;
        } else if (exchange.matches("GET", "/v1/record")) {
            exchange.reply(OK, record.toJson());
        } else {
            run(exchange);
        }
    }

    /**
     * Builds the current announcement.
     *
     * @param address the address of the service, host:port
     * @return the announcement without its sequence
     */
    public ObjectNode announcement(String address) {
        String state = isLeaving ? "leaving" : "ready";
        ObjectNode document = Announcements.create(profile, address, state);
        for (Map.Entry<String, List<String>> served : profile.services().entrySet()) {
            for (String version : served.getValue()) {
                document.withArray("services")
                        .addObject()
                        .put("service", served.getKey())
                        .put("version", version)
                        .putArray("adapters");
            }
        }
        document.putObject("load")
                .put("atMs", timeSource.millis())
                .put("running", record.running())
                .put("queued", 0)
                .put("bearableRequests", maxConcurrency);
        document.putArray("cacheEvents");
        return document;
    }

    private void changeState(Fault fault) {
        if (fault.kind() == FaultKind.LEAVING) {
            isLeaving = true;
            onStateChange.run();
        }
    }

    private void run(Exchange exchange) {
        String version = exchange.header("X-Version");
        Fault fault = faults.select(version, exchange.path(), record.running()).orElse(null);
        FaultKind kind = fault == null ? null : fault.kind();
        if (kind == FaultKind.RESET_BEFORE_RUN) {
            exchange.reset();
            return;
        }
        record.recordStart(exchange, timeSource.millis());
        long delayMs = workMs;
        if (kind == FaultKind.LATE) {
            delayMs += fault.delayMs();
        } else if (kind == FaultKind.SLOW) {
            delayMs = (long) (delayMs * fault.factor());
        }
        ObjectNode response = createResponse(exchange);
        exchange.loop()
                .schedule(() -> finish(exchange, response, kind), delayMs, TimeUnit.MILLISECONDS);
    }

    private ObjectNode createResponse(Exchange exchange) {
        return Json.object()
                .put("run", record.total())
                .put("endpointId", profile.endpointId())
                .put("method", exchange.method())
                .put("path", exchange.path())
                .put("bodyBytes", exchange.body().length)
                .put("bodyDigest", bodyDigest(exchange.body()));
    }

    /**
     * Returns the digest of a request body, which a response contains to identify its request.
     *
     * @param body the request body
     * @return XXH3-64 in hexadecimal digits
     */
    public static String bodyDigest(byte[] body) {
        return Long.toHexString(Hashing.xxh3_64().hashBytesToLong(body));
    }

    private void finish(Exchange exchange, ObjectNode response, FaultKind kind) {
        record.recordEnd();
        if (kind == null) {
            exchange.reply(OK, response);
            return;
        }
        switch (kind) {
            case FAIL -> exchange.reply(FAILED, Json.object().put("detail", "fault"));
            case CROSSED -> {
                exchange.setResponseRequestId("other-" + exchange.requestId());
                exchange.reply(OK, response.put("bodyDigest", "of another request"));
            }
            case TRUNCATED, RESET_AFTER_FIRST_BYTE -> exchange.replyTruncated(response);
            case DUPLICATED -> exchange.replyTwice(response);
            case SILENT -> exchange.stopResponding();
            case RESET_BEFORE_FIRST_BYTE -> exchange.reset();
            default -> exchange.reply(OK, response);
        }
    }
}
