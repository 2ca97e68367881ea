package org.cardamomthread.daemon.quarantine;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.gateway.GuardedPrompt;
import org.cardamomthread.daemon.gateway.PromptGuard;
import org.cardamomthread.daemon.generated.PromptBlockEvidence;
import org.cardamomthread.daemon.generated.PromptBlockEvidence.Kind;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.policy.quarantine.PromptPartKey;
import org.cardamomthread.policy.quarantine.TrialDecision;
import org.cardamomthread.policy.routing.PromptPrefix;
import org.cardamomthread.transport.PeerTransport;

/**
 * Guards the endpoints of all nodes with their joint evidence on prompt blocks.
 *
 * <p>A request that was lost before its answer began puts the first blocks under suspicion under
 * which no node has seen an answer. If blocks of it are quarantined already, they explain the loss
 * instead.
 *
 * <p>Thread-safe.
 */
public final class SharedPromptGuard implements PromptGuard {

    /** Number of blocks that one loss puts under suspicion. */
    static final int MAX_SUSPECTS = 4;

    private static final long TICK_INTERVAL_MS = 250;

    private final Peer self;
    private final Supplier<List<Peer>> livePeers;
    private final Executor executor;
    private final PromptBlockQuarantine quarantine;
    private final PromptBlockExchange exchange;
    private final EvidencePublisher publisher;

    /** The blocks of trials that were requested and have not ended, by trial. */
    private final Map<String, List<PromptPartKey>> trials = new ConcurrentHashMap<>();

    private final AtomicLong requestCount = new AtomicLong();

    /**
     * Creates a guard that does not exchange messages yet.
     *
     * @param self this node and its incarnation
     * @param livePeers lists the other live nodes, on the executor's thread
     * @param transport the transport to other nodes
     * @param executor sends evidence
     * @param timeSource the node's clock
     * @param log receives an entry for each block that is quarantined, tried or released
     */
    public SharedPromptGuard(
            Peer self,
            Supplier<List<Peer>> livePeers,
            PeerTransport transport,
            Executor executor,
            TimeSource timeSource,
            DecisionLog log) {
        this.self = self;
        this.livePeers = livePeers;
        this.executor = executor;
        this.quarantine = new PromptBlockQuarantine(timeSource, log);
        this.exchange = new PromptBlockExchange(self.node(), transport, quarantine, log);
        this.publisher =
                new EvidencePublisher(
                        self.incarnation(),
                        PromptBlockExchange.TOPIC,
                        transport,
                        quarantine,
                        timeSource,
                        log);
    }

    /**
     * Starts to exchange messages with other nodes.
     *
     * @param control runs the periodic work
     */
    public void start(ControlThread control) {
        register();
        control.scheduleWithFixedDelay(TICK_INTERVAL_MS, this::tick);
    }

    /**
     * Returns the number of quarantined blocks.
     *
     * @return the number that this node knows of
     */
    public int countQuarantined() {
        return quarantine.countQuarantined();
    }

    @Override
    public GuardedPrompt createPrompt(RequestId request, ServiceId service, PromptPrefix prefix) {
        String run = self.node() + "/" + request + "#" + self.incarnation();
        String trial = run + "." + requestCount.incrementAndGet();
        return new GuardedPrompt(trial, service, prefix);
    }

    @Override
    public long getRejectionMs(GuardedPrompt prompt) {
        return quarantine.getTrialWaitMs(findQuarantined(prompt));
    }

    @Override
    public void decide(GuardedPrompt prompt, Consumer<TrialDecision> callback) {
        List<PromptPartKey> quarantined = findQuarantined(prompt);
        long waitMs = quarantine.getTrialWaitMs(quarantined);
        if (quarantined.isEmpty()) {
            callback.accept(TrialDecision.UNRESTRICTED);
        } else if (waitMs > 0) {
            callback.accept(TrialDecision.rejected(waitMs));
        } else {
            requestTrial(prompt, quarantined, callback);
        }
    }

    @Override
    public void recordAnswer(GuardedPrompt prompt, long sentMs) {
        Set<PromptPartKey> cleared =
                new LinkedHashSet<>(quarantine.recordAnswer(PromptBlocks.of(prompt), sentMs));
        cleared.addAll(removeTrial(prompt));
        publish(Kind.ANSWERED, cleared, item -> {});
    }

    @Override
    public boolean recordLoss(GuardedPrompt prompt, String endpoint) {
        PromptBlocks blocks = PromptBlocks.of(prompt);
        if (blocks.size() == 0) {
            return false;
        }
        Set<PromptPartKey> quarantined = new LinkedHashSet<>(quarantine.findQuarantined(blocks));
        quarantined.addAll(removeTrial(prompt));
        if (!quarantined.isEmpty()) {
            suspect(quarantined, endpoint, false);
            return true;
        }
        int answered = quarantine.countAnswered(blocks);
        if (answered == blocks.size()) {
            suspect(List.of(blocks.key(answered - 1)), endpoint, true);
            return false;
        }
        exchange.queryAnswered(
                blocks,
                answeredElsewhere -> {
                    int from = Math.max(answered, answeredElsewhere);
                    if (from < blocks.size()) {
                        suspect(blocks.keys(from, from + MAX_SUSPECTS), endpoint, false);
                    } else {
                        suspect(List.of(blocks.key(blocks.size() - 1)), endpoint, true);
                    }
                });
        return true;
    }

    @Override
    public void releaseTrial(GuardedPrompt prompt) {
        List<PromptPartKey> keys = removeTrial(prompt);
        keys.forEach(key -> quarantine.releaseTrial(key, prompt.trial()));
        publish(Kind.TRIAL_RELEASED, keys, item -> item.setTrial(prompt.trial()));
    }

    /** Starts to respond to other nodes. */
    void register() {
        exchange.start();
    }

    /** Refreshes what depends on time and on the live nodes, and sends evidence again. */
    void tick() {
        List<Peer> peers = livePeers.get();
        exchange.setPeers(peers);
        publisher.setPeers(peers);
        quarantine.refresh();
        publisher.flush();
    }

    private void requestTrial(
            GuardedPrompt prompt, List<PromptPartKey> keys, Consumer<TrialDecision> callback) {
        trials.put(prompt.trial(), keys);
        exchange.requestTrial(
                keys,
                prompt.trial(),
                decision -> {
                    if (decision.kind() != TrialDecision.Kind.TRIAL) {
                        removeTrial(prompt);
                    }
                    callback.accept(decision);
                },
                () -> releaseTrial(prompt));
    }

    private List<PromptPartKey> removeTrial(GuardedPrompt prompt) {
        List<PromptPartKey> keys = trials.remove(prompt.trial());
        return keys == null ? List.of() : keys;
    }

    private void suspect(Collection<PromptPartKey> keys, String endpoint, boolean isVouched) {
        keys.forEach(key -> quarantine.recordLoss(key, endpoint, isVouched));
        publish(Kind.LOST, keys, item -> item.setEndpoint(endpoint).setVouched(isVouched));
    }

    private void publish(
            Kind kind,
            Collection<PromptPartKey> keys,
            Consumer<PromptBlockEvidence.Builder> details) {
        for (PromptPartKey key : keys) {
            PromptBlockEvidence.Builder item =
                    PromptBlockEvidence.newBuilder()
                            .setKind(kind)
                            .setId(PromptBlockCodec.encode(key));
            details.accept(item);
            publisher.add(item);
        }
        if (!keys.isEmpty()) {
            executor.execute(publisher::flush);
        }
    }

    private List<PromptPartKey> findQuarantined(GuardedPrompt prompt) {
        return quarantine.countQuarantined() == 0
                ? List.of()
                : quarantine.findQuarantined(PromptBlocks.of(prompt));
    }
}
