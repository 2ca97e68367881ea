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
 * Simulates a model engine with continuous batching, a prefix cache, a cold start, orders and fault
 * injection.
 *
 * <p>A request above the concurrency limit of a cold engine makes the engine fail all its requests.
 * Confined to the event loop thread of the server.
 */
public final class ModelEngine implements ExchangeHandler, Generation.Engine {

    private static final String REQUESTS = "/v1/requests/";
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int FAILED = 500;

    /** Number of running and queued requests at a time. */
    private record Load(long monotonicMs, long atMs, int running, int queued) {}

    private final EndpointProfile profile;
    private final EngineSettings settings;
    private final TimeSource timeSource;
    private final Runnable onStateChange;
    private final FaultPlan faults;
    private final OrderExecutor orders;
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
     * Creates an engine, which starts cold.
     *
     * @param profile the properties that it announces
     * @param settings speed, limits and delays
     * @param timeSource the clock for timestamps and simulated delays
     * @param onStateChange called after each change of the announced state
     */
    public ModelEngine(
            EndpointProfile profile,
            EngineSettings settings,
            TimeSource timeSource,
            Runnable onStateChange) {
        this.profile = profile;
        this.settings = settings;
        this.timeSource = timeSource;
        this.onStateChange = onStateChange;
        faults = new FaultPlan(timeSource);
        boolean isFencing = profile.capabilities().contains("fencing");
        orders =
                new OrderExecutor(
                        profile.services(), isFencing, settings.loadVersionMs(), onStateChange);
        cache =
                new PrefixCache(
                        settings.maxCacheBlocks(),
                        settings.cacheReportDelayMs(),
                        settings.cacheEventLossInterval());
        coldSinceMs = timeSource.monotonicMs();
    }

    @Override
    public void handle(Exchange exchange) throws IOException {
        if (faults.isAddRequest(exchange)) {
            faults.add(exchange).ifPresent(this::changeState);
        } else if (faults.clearIfRequested(exchange)) {
            return;
        } else if (exchange.matches("POST", "/v1/chat/completions")
                || exchange.matches("POST", "/v1/completions")) {
            generate(exchange);
        } else if (exchange.matches("POST", "/v1/orders")) {
            orders.handle(exchange);
        } else if (exchange.matches("GET", "/v1/state")) {
            ObjectNode state = orders.state();
            state.putPOJO("running", running.keySet());
            exchange.reply(OK, state.put("state", state()));
        } else if (exchange.matches("GET", "/v1/record")) {
            exchange.reply(OK, describeRecord());
        } else if (exchange.method().equals("DELETE") && exchange.path().startsWith(REQUESTS)) {
            cancel(exchange);
        } else {
            exchange.reply(NOT_FOUND, Json.object().put("detail", "no such path"));
        }
    }

    @Override
    public long tokenIntervalNs() {
        double slowness = Math.max(1, (double) running.size() / settings.batchSize());
        return (long) (TimeUnit.SECONDS.toNanos(1) * slowness / settings.decodeTokensPerSecond());
    }

    @Override
    public void generationEnded(Generation generation) {
        running.remove(generation.requestId(), generation);
        record.recordEnd();
    }

    /**
     * Builds the current announcement.
     *
     * @param address the address of the engine, host:port
     * @return the announcement without its sequence
     */
    public ObjectNode announcement(String address) {
        ObjectNode document = Announcements.create(profile, address, state());
        orders.describeServices(document.putArray("services"));
        Load load = laggingLoad();
        document.putObject("load")
                .put("atMs", load.atMs())
                .put("running", load.running())
                .put("queued", load.queued())
                .put("bearableRequests", concurrencyLimit())
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
            exchange.reply(
                    FAILED,
                    Json.object()
                            .put(
                                    "detail",
                                    "engine is down or does not serve the requested version"));
            return;
        }
        Fault fault = faults.select(version, exchange.path(), running.size()).orElse(null);
        if (fault != null && respondWithFault(exchange, fault)) {
            return;
        }
        if (running.size() >= concurrencyLimit() && isCold()) {
            failFromColdOverload(exchange);
            return;
        }
        startGeneration(exchange, body, fault);
    }

    private boolean respondWithFault(Exchange exchange, Fault fault) {
        switch (fault.kind()) {
            case FAIL -> exchange.reply(FAILED, Json.object().put("detail", "fault"));
            case RESET_BEFORE_RUN -> exchange.reset();
            case SILENT -> {
                record.recordStart(exchange, timeSource.millis());
                record.recordEnd();
                exchange.stopResponding();
            }
            default -> {
                return false;
            }
        }
        return true;
    }

    private void startGeneration(Exchange exchange, JsonNode body, Fault fault) {
        long nowMs = timeSource.monotonicMs();
        int cached = cache.lookUpAndStore(AnswerText.prompt(body), nowMs);
        GenerationRequest request = GenerationRequest.of(body, cached);
        Generation generation = new Generation(exchange, request, engineWithFault(fault), fault);
        record.recordStart(exchange, timeSource.millis());
        running.put(generation.requestId(), generation);
        boolean isImported = orders.hasImported(generation.requestId());
        int computed = isImported ? 0 : request.computedTokens();
        computedTokens += computed;
        long prefillMs = (long) (computed * 1_000 / settings.prefillTokensPerSecond());
        boolean isLate = fault != null && fault.kind() == FaultKind.LATE;
        generation.start(prefillMs + (isLate ? fault.delayMs() : 0));
    }

    private Generation.Engine engineWithFault(Fault fault) {
        if (fault == null || fault.kind() != FaultKind.SLOW) {
            return this;
        }
        return new Generation.Engine() {
            @Override
            public long tokenIntervalNs() {
                return (long) (ModelEngine.this.tokenIntervalNs() * fault.factor());
            }

            @Override
            public void generationEnded(Generation generation) {
                ModelEngine.this.generationEnded(generation);
            }
        };
    }

    private void failFromColdOverload(Exchange exchange) {
        coldOverloads++;
        downUntilMs = timeSource.monotonicMs() + settings.downMs();
        coldSinceMs = downUntilMs;
        exchange.reply(
                FAILED,
                Json.object()
                        .put("detail", "engine failed: too many concurrent requests while cold"));
        List<Generation> aborted = new ArrayList<>(running.values());
        aborted.forEach(Generation::abort);
        onStateChange.run();
    }

    private void cancel(Exchange exchange) {
        Generation generation = running.get(exchange.path().substring(REQUESTS.length()));
        if (generation == null) {
            exchange.reply(
                    NOT_FOUND,
                    Json.object().put("detail", "no running request has this identifier"));
            return;
        }
        generation.cancel();
        exchange.reply(OK, Json.object());
    }

    private void changeState(Fault fault) {
        if (fault.kind() == FaultKind.COLD) {
            coldSinceMs = timeSource.monotonicMs();
            cache.clear(coldSinceMs);
            onStateChange.run();
        } else if (fault.kind() == FaultKind.LEAVING) {
            isLeaving = true;
            onStateChange.run();
        }
    }

    private boolean isDown() {
        return timeSource.monotonicMs() < downUntilMs;
    }

    private boolean isCold() {
        return timeSource.monotonicMs() - coldSinceMs < settings.coldMs();
    }

    private int concurrencyLimit() {
        return isCold() ? settings.coldConcurrency() : settings.warmConcurrency();
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

    /**
     * Records the current load and returns the newest one older than the lag, or the oldest known.
     */
    private Load laggingLoad() {
        long nowMs = timeSource.monotonicMs();
        int queued = Math.max(0, running.size() - settings.batchSize());
        loads.add(new Load(nowMs, timeSource.millis(), running.size() - queued, queued));
        Load reported = loads.peek();
        while (loads.size() > 1 && nowMs - loads.peek().monotonicMs() > settings.loadLagMs()) {
            reported = loads.poll();
        }
        return reported;
    }
}
