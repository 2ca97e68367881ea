package org.cardamomthread.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
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
 * Stands in for a model engine: batches continuously, caches prefixes, starts cold, takes orders
 * and fails on command.
 *
 * <p>Invariant: while cold it never runs more than it bears, but falls over. Used on the one thread
 * of the server only.
 */
public final class ModelEngine implements ExchangeHandler, Generation.Engine {

    private static final String REQUESTS = "/v1/requests/";
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int FAILED = 500;

    /** Load at a time. */
    private record Load(long monotonicMs, long atMs, int running, int queued) {}

    private final EndpointProfile profile;
    private final EngineSettings settings;
    private final TimeSource timeSource;
    private final Runnable changed;
    private final FaultPlan faults;
    private final OrderBook orders;
    private final PrefixCache cache;
    private final RunRecord record = new RunRecord();
    private final Map<String, Generation> running = new LinkedHashMap<>();
    private final ArrayDeque<Load> loads = new ArrayDeque<>();
    private long coldSinceMs;
    private long downUntilMs;
    private long coldOverloads;
    private long computedTokens;
    private boolean isLeaving;

    /**
     * Creates an engine that is cold.
     *
     * @param profile what it says of itself
     * @param settings its speed and bounds
     * @param timeSource the clock
     * @param changed called when its state changed
     */
    public ModelEngine(
            EndpointProfile profile,
            EngineSettings settings,
            TimeSource timeSource,
            Runnable changed) {
        this.profile = profile;
        this.settings = settings;
        this.timeSource = timeSource;
        this.changed = changed;
        faults = new FaultPlan(timeSource);
        boolean isFencing = profile.capabilities().contains("fencing");
        orders = new OrderBook(profile.services(), isFencing, settings.loadVersionMs(), changed);
        cache =
                new PrefixCache(
                        settings.cacheBlocks(),
                        settings.cacheReportDelayMs(),
                        settings.cacheGapEvery());
        coldSinceMs = timeSource.monotonicMs();
    }

    @Override
    public void handle(Exchange exchange) throws IOException {
        if (faults.sets(exchange)) {
            faults.control(exchange).ifPresent(this::changeState);
        } else if (faults.clears(exchange)) {
            return;
        } else if (exchange.is("POST", "/v1/chat/completions")
                || exchange.is("POST", "/v1/completions")) {
            generate(exchange);
        } else if (exchange.is("POST", "/v1/orders")) {
            orders.order(exchange);
        } else if (exchange.is("GET", "/v1/state")) {
            ObjectNode state = orders.state();
            state.putPOJO("running", running.keySet());
            exchange.reply(OK, state.put("state", state()));
        } else if (exchange.is("GET", "/v1/record")) {
            exchange.reply(OK, describeRecord());
        } else if (exchange.method().equals("DELETE") && exchange.path().startsWith(REQUESTS)) {
            cancel(exchange);
        } else {
            exchange.reply(NOT_FOUND, Json.object().put("detail", "no such path"));
        }
    }

    @Override
    public long tokenIntervalNs() {
        double slowness = Math.max(1, (double) running.size() / settings.batchRequests());
        return (long) (TimeUnit.SECONDS.toNanos(1) * slowness / settings.decodeTokensPerSecond());
    }

    @Override
    public void ended(Generation generation) {
        running.remove(generation.requestId(), generation);
        record.ended();
    }

    /**
     * Renders an announcement.
     *
     * @param address where the engine listens
     * @return the announcement without its sequence
     */
    public ObjectNode announcement(String address) {
        ObjectNode document = Announcements.describe(profile, address, state());
        orders.describeServices(document.putArray("services"));
        Load load = laggingLoad();
        document.putObject("load")
                .put("atMs", load.atMs())
                .put("running", load.running())
                .put("queued", load.queued())
                .put("bearableRequests", bearable())
                .put("kvUsedFraction", cache.usedFraction())
                .put("prefillTokensPerSecond", settings.prefillTokensPerSecond())
                .put("decodeTokensPerSecond", settings.decodeTokensPerSecond());
        cache.drainTo(document.putArray("cacheEvents"), timeSource.monotonicMs());
        return document;
    }

    private void generate(Exchange exchange) throws IOException {
        JsonNode body = Json.read(exchange.body());
        String version = exchange.header("X-Version");
        String service = body.path("model").asText();
        if (isDown() || !version.isEmpty() && !orders.serves(service, version)) {
            exchange.reply(FAILED, Json.object().put("detail", "engine is down or lacks it"));
            return;
        }
        Fault fault = faults.pick(version, exchange.path(), running.size()).orElse(null);
        if (fault != null && refuses(exchange, fault)) {
            return;
        }
        if (running.size() >= bearable() && isCold()) {
            fallOver(exchange);
            return;
        }
        start(exchange, body, fault);
    }

    private boolean refuses(Exchange exchange, Fault fault) {
        switch (fault.kind()) {
            case FAIL -> exchange.reply(FAILED, Json.object().put("detail", "fault"));
            case RESET_BEFORE_RUN -> exchange.reset();
            case SILENT -> {
                record.started(exchange, timeSource.millis());
                record.ended();
                exchange.silence();
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    private void start(Exchange exchange, JsonNode body, Fault fault) {
        long nowMs = timeSource.monotonicMs();
        int cached = cache.use(AnswerText.prompt(body), nowMs);
        GenerationRequest request = GenerationRequest.of(body, cached);
        Generation generation = new Generation(exchange, request, engineFor(fault), fault);
        record.started(exchange, timeSource.millis());
        running.put(generation.requestId(), generation);
        boolean isImported = orders.hasImported(generation.requestId());
        int computed = isImported ? 0 : request.computedTokens();
        computedTokens += computed;
        long prefillMs = (long) (computed * 1_000 / settings.prefillTokensPerSecond());
        boolean isLate = fault != null && fault.kind() == FaultKind.LATE;
        generation.start(prefillMs + (isLate ? fault.delayMs() : 0));
    }

    private Generation.Engine engineFor(Fault fault) {
        if (fault == null || fault.kind() != FaultKind.SLOW) {
            return this;
        }
        return new Generation.Engine() {
            @Override
            public long tokenIntervalNs() {
                return (long) (ModelEngine.this.tokenIntervalNs() * fault.factor());
            }

            @Override
            public void ended(Generation generation) {
                ModelEngine.this.ended(generation);
            }
        };
    }

    private void fallOver(Exchange exchange) {
        coldOverloads++;
        downUntilMs = timeSource.monotonicMs() + settings.downMs();
        coldSinceMs = downUntilMs;
        exchange.reply(FAILED, Json.object().put("detail", "engine fell over while cold"));
        List<Generation> broken = new ArrayList<>(running.values());
        broken.forEach(Generation::breakOff);
        changed.run();
    }

    private void cancel(Exchange exchange) {
        Generation found = running.get(exchange.path().substring(REQUESTS.length()));
        if (found == null) {
            exchange.reply(NOT_FOUND, Json.object().put("detail", "no such request runs"));
            return;
        }
        found.cancel();
        exchange.reply(OK, Json.object());
    }

    private void changeState(Fault fault) {
        if (fault.kind() == FaultKind.COLD) {
            coldSinceMs = timeSource.monotonicMs();
            cache.clear(coldSinceMs);
            changed.run();
        } else if (fault.kind() == FaultKind.LEAVING) {
            isLeaving = true;
            changed.run();
        }
    }

    private boolean isDown() {
        return timeSource.monotonicMs() < downUntilMs;
    }

    private boolean isCold() {
        return timeSource.monotonicMs() - coldSinceMs < settings.coldMs();
    }

    private int bearable() {
        return isCold() ? settings.coldBearableRequests() : settings.bearableRequests();
    }

    private String state() {
        if (isLeaving) {
            return "leaving";
        }
        return isCold() ? "cold" : "ready";
    }

    private ObjectNode describeRecord() {
        return record.toJson()
                .put("coldOverloads", coldOverloads)
                .put("computedTokens", computedTokens);
    }

    /** Returns the newest load that is at least as old as the lag, or the oldest known. */
    private Load laggingLoad() {
        long nowMs = timeSource.monotonicMs();
        int queued = Math.max(0, running.size() - settings.batchRequests());
        loads.add(new Load(nowMs, timeSource.millis(), running.size() - queued, queued));
        Load chosen = loads.peek();
        while (loads.size() > 1 && nowMs - loads.peek().monotonicMs() > settings.loadLagMs()) {
            chosen = loads.poll();
        }
        return chosen;
    }
}
