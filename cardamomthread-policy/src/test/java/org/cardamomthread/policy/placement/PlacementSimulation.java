package org.cardamomthread.policy.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.SplittableRandom;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.policy.placement.PlacementDecision.Reason;
import org.cardamomthread.policy.placement.RecentPrompts.CachedTokens;
import org.cardamomthread.policy.placement.ServicePace.Candidate;

/**
 * Simulates gateways that place requests of one service on endpoints, without a network.
 *
 * <p>An endpoint prefills one prompt at a time, then generates the response in the request's slot;
 * it reports its load with each first token. Its cache keeps shared parts for ten seconds. A
 * gateway learns only from its own responses.
 */
final class PlacementSimulation {

    static final long OBJECTIVE_MS = 1_000;
    private static final double ONE_WAY_MS = 1.4;
    private static final long CACHE_MS = 10_000;

    /** Describes a deployment and its load. */
    record Setup(
            int gateways,
            int dataCentres,
            double[] speeds,
            int slots,
            double tokensPerMs,
            double decodeMs,
            long promptTokens,
            long sharedTokens,
            double requestsPerS) {}

    /** Records one placed request. */
    record Placed(int gateway, int endpoint, Reason reason, double firstTokenMs) {

        boolean isLocal() {
            return reason == Reason.OWN_DATA_CENTRE;
        }
    }

    /** Holds one endpoint. */
    private final class Endpoint {
        private final int index;
        private final Queue<Request> waiting = new ArrayDeque<>();
        private final Map<String, Double> cachedUntilMs = new HashMap<>();
        private double prefillFreeMs;
        private int running;
        private boolean isAvailable = true;

        Endpoint(int index) {
            this.index = index;
        }

        void accept(Request request) {
            waiting.add(request);
            admit();
        }

        private void admit() {
            while (running < setup.slots() && !waiting.isEmpty()) {
                running++;
                begin(waiting.remove());
            }
        }

        private void begin(Request request) {
            double startMs = Math.max(nowMs, prefillFreeMs);
            boolean isCached = cachedUntilMs.getOrDefault(request.part, 0.0) > startMs;
            long tokens = setup.promptTokens() - (isCached ? setup.sharedTokens() : 0);
            double speed = setup.speeds()[index];
            prefillFreeMs = startMs + tokens / (setup.tokensPerMs() * speed);
            cachedUntilMs.put(request.part, prefillFreeMs + CACHE_MS);
            schedule(prefillFreeMs, () -> finishPrefill(request, speed));
        }

        private void finishPrefill(Request request, double speed) {
            int load = running + waiting.size();
            schedule(nowMs + request.oneWayMs, () -> request.receiveFirstToken(load));
            double decodeMs = -Math.log(1 - random.nextDouble()) * setup.decodeMs() / speed;
            schedule(
                    nowMs + decodeMs,
                    () -> {
                        running--;
                        schedule(nowMs + request.oneWayMs, request::end);
                        admit();
                    });
        }
    }

    /** Holds what one gateway knows of an endpoint. */
    private record Known(Endpoint endpoint, EndpointLoad load, int slots) implements Candidate {}

    /** Holds one gateway. */
    private final class Gateway {
        private final int index;
        private final EndpointPlacement placement = new EndpointPlacement(random.split());
        private final ServicePace pace = new ServicePace();
        private final RecentPrompts recent = new RecentPrompts();
        private final List<Known> known = new ArrayList<>();

        Gateway(int index) {
            this.index = index;
        }

        boolean isLocal(Candidate candidate) {
            return isLocal(((Known) candidate).endpoint().index);
        }

        boolean isLocal(int endpoint) {
            return endpoint % setup.dataCentres() == index % setup.dataCentres();
        }

        void place(Optional<String> part) {
            long now = (long) nowMs;
            List<Known> available =
                    known.stream().filter(candidate -> candidate.endpoint().isAvailable).toList();
            pace.refresh(available, this::isLocal, now);
            PromptChain prompt = new PromptChain(1);
            part.ifPresent(shared -> prompt.add(shared, setup.sharedTokens()));
            CachedTokens cached = recent.find(prompt, now);
            PlacementRequest request =
                    new PlacementRequest(
                            setup.promptTokens(),
                            part,
                            cached,
                            DataCentreMargin.toleranceMs(OBJECTIVE_MS),
                            new DataCentreMargin(OptionalLong.empty()).marginMs(OBJECTIVE_MS));
            PlacementDecision decision =
                    placement.choose(
                            available, this::isLocal, request, pace, setup.gateways(), now);
            Known chosen = available.get(decision.index());
            SentRequest sent =
                    SentRequest.send(
                            chosen,
                            pace,
                            isLocal(chosen),
                            setup.gateways(),
                            setup.promptTokens(),
                            cached.at(chosen.load()),
                            now);
            chosen.load().recordStart();
            recent.record(prompt, chosen.load(), now);
            Request placed =
                    new Request(
                            this,
                            chosen,
                            sent,
                            decision.reason(),
                            part.orElse("own" + requestCount++));
            schedule(nowMs + placed.oneWayMs, () -> chosen.endpoint().accept(placed));
        }
    }

    /** Holds one request on its way. */
    private final class Request {
        private final Gateway gateway;
        private final Known target;
        private final SentRequest sent;
        private final Reason reason;
        private final String part;
        private final double sentMs = nowMs;
        private final double oneWayMs;

        Request(Gateway gateway, Known target, SentRequest sent, Reason reason, String part) {
            this.gateway = gateway;
            this.target = target;
            this.sent = sent;
            this.reason = reason;
            this.part = part;
            oneWayMs = gateway.isLocal(target) ? 0 : ONE_WAY_MS;
        }

        void receiveFirstToken(int load) {
            target.load().recordReport(load, 100, (long) nowMs);
            sent.recordFirstToken((long) nowMs);
            placed.add(new Placed(gateway.index, target.endpoint().index, reason, nowMs - sentMs));
        }

        void end() {
            target.load().recordEnd();
            sent.recordEnd(true, true, (long) nowMs);
        }
    }

    private record Event(double timeMs, long order, Runnable action) {}

    private final Setup setup;
    private final SplittableRandom random;
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<Placed> placed = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Event::timeMs).thenComparingLong(Event::order));
    private double nowMs;
    private long eventCount;
    private long requestCount;
    private double rateFactor = 1;
    private Optional<String> hotPart = Optional.empty();

    PlacementSimulation(Setup setup, long seed) {
        this.setup = setup;
        random = new SplittableRandom(seed);
        for (int i = 0; i < setup.speeds().length; i++) {
            endpoints.add(new Endpoint(i));
        }
        for (int i = 0; i < setup.gateways(); i++) {
            Gateway gateway = new Gateway(i);
            endpoints.forEach(endpoint -> gateway.known.add(know(endpoint)));
            gateways.add(gateway);
        }
        scheduleArrival();
    }

    private Known know(Endpoint endpoint) {
        EndpointId id = new EndpointId("e" + endpoint.index);
        return new Known(endpoint, new EndpointLoad(id), setup.slots());
    }

    private void scheduleArrival() {
        double meanGapMs = 1_000 / (setup.requestsPerS() * rateFactor);
        double gapMs = -Math.log(1 - random.nextDouble()) * meanGapMs;
        schedule(
                nowMs + gapMs,
                () -> {
                    gateways.get(random.nextInt(gateways.size())).place(hotPart);
                    scheduleArrival();
                });
    }

    private void schedule(double timeMs, Runnable action) {
        events.add(new Event(timeMs, eventCount++, action));
    }

    /** Gives all requests from now on the same shared part. */
    void setHotPart(String part) {
        hotPart = Optional.of(part);
    }

    /** Changes the rate of requests by a factor on that of the setup. */
    void setRateFactor(double factor) {
        rateFactor = factor;
    }

    void setAvailable(int endpoint, boolean isAvailable) {
        endpoints.get(endpoint).isAvailable = isAvailable;
    }

    /** Replaces an endpoint by an idle one of which no gateway knows anything. */
    void replace(int endpoint) {
        endpoints.set(endpoint, new Endpoint(endpoint));
        gateways.forEach(gateway -> gateway.known.set(endpoint, know(endpoints.get(endpoint))));
    }

    int load(int endpoint) {
        return endpoints.get(endpoint).running + endpoints.get(endpoint).waiting.size();
    }

    /** Runs until a time and returns the requests that got their first token since the last run. */
    List<Placed> runUntil(double untilMs) {
        placed.clear();
        while (events.peek().timeMs() <= untilMs) {
            Event event = events.remove();
            nowMs = event.timeMs();
            event.action().run();
        }
        nowMs = untilMs;
        return List.copyOf(placed);
    }

    static double percentile(List<Placed> requests, double part) {
        double[] sorted = requests.stream().mapToDouble(Placed::firstTokenMs).sorted().toArray();
        return sorted[(int) Math.min(sorted.length - 1, sorted.length * part)];
    }

    static double remoteShare(List<Placed> requests) {
        return (double) requests.stream().filter(request -> !request.isLocal()).count()
                / requests.size();
    }
}
