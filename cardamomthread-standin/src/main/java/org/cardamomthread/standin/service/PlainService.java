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
 * Stands in for a plain service that takes bookings: runs each request that it gets and records it.
 *
 * <p>Invariant: it never recognizes a repeated key. Used on the one thread of the server only.
 */
public final class PlainService implements ExchangeHandler {

    private static final int OK = 200;
    private static final int FAILED = 500;

    private final EndpointProfile profile;
    private final long workMs;
    private final int bearableRequests;
    private final TimeSource timeSource;
    private final Runnable changed;
    private final FaultPlan faults;
    private final RunRecord record = new RunRecord();
    private boolean isLeaving;

    /**
     * Creates a service.
     *
     * @param profile what it says of itself
     * @param workMs time that a request takes
     * @param bearableRequests requests that it announces as bearable
     * @param timeSource the clock
     * @param changed called when its state changed
     */
    public PlainService(
            EndpointProfile profile,
            long workMs,
            int bearableRequests,
            TimeSource timeSource,
            Runnable changed) {
        this.profile = profile;
        this.workMs = workMs;
        this.bearableRequests = bearableRequests;
        this.timeSource = timeSource;
        this.changed = changed;
        faults = new FaultPlan(timeSource);
    }

    @Override
    public void handle(Exchange exchange) throws IOException {
        if (faults.sets(exchange)) {
            faults.control(exchange).ifPresent(this::changeState);
        } else if (faults.clears(exchange)) {
            return;
        } else if (exchange.is("GET", "/v1/record")) {
            exchange.reply(OK, record.toJson());
        } else {
            run(exchange);
        }
    }

    /**
     * Renders an announcement.
     *
     * @param address where the service listens
     * @return the announcement without its sequence
     */
    public ObjectNode announcement(String address) {
        String state = isLeaving ? "leaving" : "ready";
        ObjectNode document = Announcements.describe(profile, address, state);
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
                .put("bearableRequests", bearableRequests);
        document.putArray("cacheEvents");
        return document;
    }

    private void changeState(Fault fault) {
        if (fault.kind() == FaultKind.LEAVING) {
            isLeaving = true;
            changed.run();
        }
    }

    private void run(Exchange exchange) {
        String version = exchange.header("X-Version");
        Fault fault = faults.pick(version, exchange.path(), record.running()).orElse(null);
        FaultKind kind = fault == null ? null : fault.kind();
        if (kind == FaultKind.RESET_BEFORE_RUN) {
            exchange.reset();
            return;
        }
        record.started(exchange, timeSource.millis());
        long delayMs = workMs;
        if (kind == FaultKind.LATE) {
            delayMs += fault.delayMs();
        } else if (kind == FaultKind.SLOW) {
            delayMs = (long) (delayMs * fault.factor());
        }
        ObjectNode answer = answer(exchange);
        exchange.loop()
                .schedule(() -> finish(exchange, answer, kind), delayMs, TimeUnit.MILLISECONDS);
    }

    private ObjectNode answer(Exchange exchange) {
        return Json.object()
                .put("run", record.total())
                .put("endpointId", profile.endpointId())
                .put("method", exchange.method())
                .put("path", exchange.path())
                .put("bodyBytes", exchange.body().length)
                .put("bodyDigest", digest(exchange.body()));
    }

    /**
     * Returns the digest by which an answer names the body of its request.
     *
     * @param body the body
     * @return XXH3-64 in hexadecimal digits
     */
    public static String digest(byte[] body) {
        return Long.toHexString(Hashing.xxh3_64().hashBytesToLong(body));
    }

    private void finish(Exchange exchange, ObjectNode answer, FaultKind kind) {
        record.ended();
        if (kind == null) {
            exchange.reply(OK, answer);
            return;
        }
        switch (kind) {
            case FAIL -> exchange.reply(FAILED, Json.object().put("detail", "fault"));
            case CROSSED -> {
                exchange.answerAs("other-" + exchange.requestId());
                exchange.reply(OK, answer.put("bodyDigest", "of another request"));
            }
            case TRUNCATED, RESET_AFTER_FIRST_BYTE -> exchange.replyTruncated(answer);
            case DUPLICATED -> exchange.replyTwice(answer);
            case SILENT -> exchange.silence();
            case RESET_BEFORE_FIRST_BYTE -> exchange.reset();
            default -> exchange.reply(OK, answer);
        }
    }
}
