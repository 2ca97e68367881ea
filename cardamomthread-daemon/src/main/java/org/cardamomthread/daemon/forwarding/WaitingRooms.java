package org.cardamomthread.daemon.forwarding;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.cardamomthread.configuration.traffic.RouteTable;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.http.ServerRequest;
import org.cardamomthread.daemon.telemetry.ForwardingMetrics;
import org.cardamomthread.daemon.view.GatewayView;
import org.cardamomthread.daemon.view.ViewLease;
import org.cardamomthread.policy.admission.AdmissionRefusal;
import org.cardamomthread.policy.admission.QueuedRequest;
import org.cardamomthread.policy.admission.WaitingBudget;
import org.cardamomthread.policy.admission.WaitingRequest;
import org.cardamomthread.policy.admission.WaitingRoom;
import org.cardamomthread.policy.profile.Priority;

/**
 * Holds the calls of one gateway that wait for an endpoint with room, in one room per service.
 *
 * <p>Invariants: no attempt of a waiting call can have run, so that each refusal is one as not run;
 * a call waits at most once at a time; the timer runs only while calls wait. Must be used on one
 * event loop.
 */
final class WaitingRooms {

    /** Interval at which waiting calls are checked for what is told by no event. */
    private static final long CHECK_INTERVAL_MS = 50;

    /**
     * Maximum number of calls started at one event: when the load reports of all endpoints become
     * stale, the whole queue would be sent at once otherwise.
     */
    private static final int MAX_STARTS_PER_EVENT = 4;

    /** Memory of the decoded head of a request, in bytes. */
    private static final long HEAD_BYTES = 4_096;

    /** Weight of the latest request in the expected time that requests of a route take. */
    private static final double SERVICE_TIME_SMOOTHING = 0.1;

    /** Retry delay for clients of a gateway that stops; the others can take the request at once. */
    private static final long STOPPING_RETRY_AFTER_MS = 0;

    /** Retry delay for clients of a gateway whose view lease has ended. */
    private static final long NO_VIEW_RETRY_AFTER_MS = 500;

    private static final ClientAccountId NO_ACCOUNT = new ClientAccountId("none");

    private final EventLoop loop;
    private final TimeSource timeSource;
    private final EndpointTable endpoints;
    private final ForwardingEndpointSelector selector;
    private final ViewLease viewLease;
    private final RandomGenerator random;
    private final ForwardingLog log;
    private final ForwardingMetrics metrics;
    private final WaitingBudget budget;
    private final Map<ServiceId, ServiceRoom> rooms = new HashMap<>();
    private final Map<RequestId, WaitingCall> waitingById = new LinkedHashMap<>();
    private final Map<ForwardedCall, WaitingCall> waitingByCall = new IdentityHashMap<>();
    private final Map<RouteId, Double> serviceMsByRoute = new HashMap<>();
    private long lastEntryNumber;
    private long checkedDocumentVersion;
    private boolean isCheckScheduled;
    private boolean isStopping;

    /** Holds the room of one service. */
    private static final class ServiceRoom {
        private final ServiceId service;
        private final WaitingRoom room;
        private boolean isStartingCalls;

        ServiceRoom(ServiceId service, WaitingRoom room) {
            this.service = service;
            this.room = room;
        }
    }

    WaitingRooms(
            Forwarder.Dependencies dependencies,
            EndpointTable endpoints,
            ForwardingEndpointSelector selector,
            ForwardingLog log) {
        loop = dependencies.loop();
        timeSource = dependencies.timeSource();
        viewLease = dependencies.viewLease();
        random = dependencies.random();
        metrics = dependencies.metrics();
        WaitingLimits limits = dependencies.limits().waitingLimits();
        budget = new WaitingBudget(limits.maxRequests(), limits.maxBytes());
        this.endpoints = endpoints;
        this.selector = selector;
        this.log = log;
    }

    void recordStart(AdmittedRequest request) {
        roomOf(request.service().id()).room.recordStart();
    }

    /** Records the end of an attempt, and whether it was one of a served request. */
    void recordEnd(AdmittedRequest request, long startedMs, boolean isServed) {
        long serviceMs = timeSource.monotonicMs() - startedMs;
        roomOf(request.service().id()).room.recordEnd(serviceMs, isServed);
        if (isServed) {
            serviceMsByRoute.merge(
                    request.route().id(),
                    (double) serviceMs,
                    (meanMs, sampleMs) -> meanMs + SERVICE_TIME_SMOOTHING * (sampleMs - meanMs));
        }
    }

    /** Returns whether a request for a service must wait: others wait, or no endpoint has room. */
    boolean mustWait(ServiceId service) {
        return !waitingById.isEmpty() && roomOf(service).room.size() > 0
                || !selector.hasRoom(service, timeSource.monotonicMs());
    }

    /** Lets a call wait, or refuses it or another one at once. */
    void enter(ForwardedCall call, AdmittedRequest request, ServerRequest clientRequest) {
        long nowMs = timeSource.monotonicMs();
        ServiceRoom room = roomOf(request.service().id());
        WaitingRequest entry = createEntry(request, clientRequest);
        WaitingCall waiting = new WaitingCall(call, request, clientRequest, entry, nowMs);
        waitingById.put(entry.entry().id(), waiting);
        waitingByCall.put(call, waiting);
        if (isStopping) {
            refuseBecauseGatewayStops(waiting);
            return;
        }
        List<AdmissionRefusal> refusals = room.room.offer(entry, nowMs);
        metrics.setWaiting(room.service, room.room.size());
        refusals.forEach(this::refuse);
        if (room.room.size() > 0) {
            scheduleCheck();
            startNext(room);
        }
    }

    private WaitingRequest createEntry(AdmittedRequest request, ServerRequest clientRequest) {
        long serviceMs = serviceMsByRoute.getOrDefault(request.route().id(), 0.0).longValue();
        double cost = request.service().isModel() ? Math.max(1, request.head().promptTokens()) : 1;
        QueuedRequest entry =
                new QueuedRequest(
                        new RequestId("w" + ++lastEntryNumber),
                        request.account().map(account -> account.id()).orElse(NO_ACCOUNT),
                        Priority.URGENT,
                        cost,
                        request.deadlineMs() - serviceMs);
        return new WaitingRequest(
                entry,
                request.priorityLevel(),
                request.receivedMs(),
                request.route().latencyTargetMs(),
                request.route().timeoutMs() - serviceMs,
                HEAD_BYTES + clientRequest.body().length);
    }

    boolean isWaiting(ForwardedCall call) {
        return waitingByCall.containsKey(call);
    }

    /** Removes a call that has ended, if it waits. */
    void leave(ForwardedCall call) {
        WaitingCall waiting = waitingByCall.get(call);
        if (waiting != null) {
            remove(waiting);
            log.logWait(waiting, "ended", timeSource.monotonicMs(), 0);
        }
    }

    /** Starts the next calls of a service if an endpoint has room. */
    void startNext(ServiceId service) {
        if (!waitingById.isEmpty()) {
            startNext(roomOf(service));
        }
    }

    private void startNext(ServiceRoom room) {
        if (room.isStartingCalls || room.room.size() == 0) {
            return;
        }
        room.isStartingCalls = true;
        try {
            long nowMs = timeSource.monotonicMs();
            refuseLate(room, nowMs);
            for (int i = 0; i < MAX_STARTS_PER_EVENT && mayStart(room, nowMs); i++) {
                startFirst(room, nowMs);
            }
        } finally {
            room.isStartingCalls = false;
        }
    }

    private void startFirst(ServiceRoom room, long nowMs) {
        WaitingCall waiting = waitingById.get(room.room.poll(nowMs).orElseThrow().entry().id());
        metrics.setWaiting(room.service, room.room.size());
        if (endpoints.view().routes().isPresent()
                && isKeyRevoked(waiting, endpoints.view().routes().get())) {
            refuseRevokedKey(waiting);
            return;
        }
        forget(waiting);
        metrics.recordWait(room.service, nowMs - waiting.enteredMs());
        log.logWait(waiting, "sent", nowMs, 0);
        waiting.call().resume();
    }

    /** Returns whether the next call may start, or be refused because there is no endpoint left. */
    private boolean mayStart(ServiceRoom room, long nowMs) {
        return room.room.size() > 0
                && selector.hasRoom(room.service, nowMs)
                && endpoints.pauseMs(room.service, nowMs).isEmpty();
    }

    private void refuseLate(ServiceRoom room, long nowMs) {
        List<AdmissionRefusal> refusals = room.room.recheck(nowMs);
        if (!refusals.isEmpty()) {
            metrics.setWaiting(room.service, room.room.size());
            refusals.forEach(this::refuse);
        }
    }

    private void scheduleCheck() {
        if (!isCheckScheduled) {
            isCheckScheduled = true;
            loop.schedule(this::onCheckDue, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void onCheckDue() {
        isCheckScheduled = false;
        try {
            check();
        } finally {
            if (!waitingById.isEmpty()) {
                scheduleCheck();
            }
        }
    }

    private void check() {
        refuseWithoutViewLease();
        for (ServiceRoom room : List.copyOf(rooms.values())) {
            if (room.room.size() > 0) {
                refuseLate(room, timeSource.monotonicMs());
                startNext(room);
            }
        }
    }

    private void refuseWithoutViewLease() {
        if (waitingById.isEmpty() || viewLease.isHeld()) {
            return;
        }
        for (WaitingCall waiting : List.copyOf(waitingById.values())) {
            if (waiting.request().account().isPresent()) {
                refuse(
                        waiting,
                        GatewayError.unavailable(
                                "no-view",
                                "this gateway has lost contact with the control nodes: send the"
                                        + " request again later",
                                NO_VIEW_RETRY_AFTER_MS));
            }
        }
    }

    /** Checks the waiting calls against a new view, which has been applied to the endpoints. */
    void applyView(GatewayView view) {
        if (waitingById.isEmpty()) {
            return;
        }
        view.routes().ifPresent(this::refuseRevokedKeys);
        check();
    }

    private void refuseRevokedKeys(RouteTable routes) {
        if (routes.document().version() == checkedDocumentVersion) {
            return;
        }
        checkedDocumentVersion = routes.document().version();
        for (WaitingCall waiting : List.copyOf(waitingById.values())) {
            if (isKeyRevoked(waiting, routes)) {
                refuseRevokedKey(waiting);
            }
        }
    }

    private static boolean isKeyRevoked(WaitingCall waiting, RouteTable routes) {
        return waiting.request().account().isPresent()
                && waiting.clientRequest()
                        .getBearerToken()
                        .flatMap(routes::findAccountByKey)
                        .isEmpty();
    }

    private void refuseRevokedKey(WaitingCall waiting) {
        refuse(
                waiting,
                GatewayError.of(
                        401,
                        "unknown-key",
                        "Unknown key",
                        "the key of the request was revoked while it waited: send a valid bearer"
                                + " token"));
    }

    /** Refuses all waiting calls, and those that would have to wait from now on. */
    void stop() {
        isStopping = true;
        List.copyOf(waitingById.values()).forEach(this::refuseBecauseGatewayStops);
    }

    private void refuseBecauseGatewayStops(WaitingCall waiting) {
        refuse(
                waiting,
                GatewayError.unavailable(
                        "gateway-stopping",
                        "this gateway is being stopped: send the request again on a new"
                                + " connection",
                        STOPPING_RETRY_AFTER_MS));
    }

    private void refuse(AdmissionRefusal refusal) {
        WaitingCall waiting = waitingById.get(refusal.request().id());
        if (waiting == null) {
            return;
        }
        String reason = refusal.reason().name().toLowerCase(Locale.ROOT).replace('_', '-');
        String detail =
                switch (refusal.reason()) {
                    case TOO_LATE ->
                            "the endpoints are full, and the request cannot start in time: send it"
                                    + " again after the given delay";
                    case QUEUE_FULL ->
                            "the endpoints are full, and too many requests wait for them: send the"
                                    + " request again after the given delay";
                    case DISPLACED ->
                            "the endpoints are full, and the place of the request was given to"
                                    + " another: send it again after the given delay";
                };
        refuse(waiting, GatewayError.unavailable(reason, detail, refusal.retryAfterMs()));
    }

    private void refuse(WaitingCall waiting, GatewayError error) {
        if (!waitingById.containsKey(waiting.entry().entry().id())) {
            return;
        }
        remove(waiting);
        log.logWait(
                waiting, error.type(), timeSource.monotonicMs(), error.retryAfterMs().orElse(0));
        waiting.call().refuse(error);
    }

    private void remove(WaitingCall waiting) {
        ServiceRoom room = roomOf(waiting.request().service().id());
        if (room.room.remove(waiting.entry(), timeSource.monotonicMs())) {
            metrics.setWaiting(room.service, room.room.size());
        }
        forget(waiting);
    }

    private void forget(WaitingCall waiting) {
        waitingById.remove(waiting.entry().entry().id());
        waitingByCall.remove(waiting.call());
    }

    /** Returns the retry delay for a request that no endpoint could take, in milliseconds. */
    long retryAfterMs(ServiceId service) {
        return roomOf(service).room.retryAfterMs();
    }

    private ServiceRoom roomOf(ServiceId service) {
        ServiceRoom room = rooms.get(service);
        if (room == null) {
            room = new ServiceRoom(service, new WaitingRoom(budget, random));
            rooms.put(service, room);
        }
        return room;
    }
}
