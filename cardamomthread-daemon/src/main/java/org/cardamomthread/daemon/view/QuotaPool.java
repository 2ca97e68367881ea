package org.cardamomthread.daemon.view;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.cardamomthread.configuration.traffic.RouteTable;
import org.cardamomthread.configuration.traffic.TrafficAccount;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.view.generated.QuotaRequest;
import org.cardamomthread.daemon.view.generated.QuotaResponse;
import org.cardamomthread.policy.admission.TokenBucket;
import org.cardamomthread.transport.PeerTopic;

/**
 * Grants a part of each account's quota to gateways whose local share is low.
 *
 * <p>Invariant: only the leader grants quota, while its lease is held, and a new leader starts with
 * an empty pool, so that two successive leaders grant no more than one would. Runs on the control
 * thread.
 */
public final class QuotaPool {

    /** The topic of the gateways' quota requests. */
    public static final PeerTopic TOPIC = new PeerTopic(23, "quota");

    private final Supplier<Optional<RouteTable>> routes;
    private final BooleanSupplier isLeader;
    private final IntSupplier gatewayCount;
    private final QuotaAllocation allocation;
    private final ControlThread controlThread;
    private final TimeSource timeSource;
    private final Map<String, TokenBucket> buckets = new HashMap<>();

    /**
     * Creates an empty pool.
     *
     * @param routes supplies the current traffic document with the accounts
     * @param isLeader returns whether this node may grant quota
     * @param gatewayCount supplies the number of gateways that share the quotas
     * @param allocation determines the part of each quota that the pool grants
     * @param controlThread the thread on which requests are handled
     * @param timeSource supplies monotonic time
     */
    public QuotaPool(
            Supplier<Optional<RouteTable>> routes,
            BooleanSupplier isLeader,
            IntSupplier gatewayCount,
            QuotaAllocation allocation,
            ControlThread controlThread,
            TimeSource timeSource) {
        this.routes = routes;
        this.isLeader = isLeader;
        this.gatewayCount = gatewayCount;
        this.allocation = allocation;
        this.controlThread = controlThread;
        this.timeSource = timeSource;
    }

    /**
     * Handles a quota request of a gateway.
     *
     * @param from the gateway that sent it
     * @param payload the encoded {@link QuotaRequest}
     * @return the encoded {@link QuotaResponse}
     */
    public CompletionStage<byte[]> handle(NodeId from, byte[] payload) {
        QuotaRequest request;
        try {
            request = QuotaRequest.parseFrom(payload);
        } catch (InvalidProtocolBufferException e) {
            return CompletableFuture.failedFuture(e);
        }
        return controlThread.submit(() -> grant(request).toByteArray());
    }

    private QuotaResponse grant(QuotaRequest request) {
        Optional<TrafficAccount> account =
                routes.get()
                        .flatMap(routeTable -> routeTable.findAccountByName(request.getAccount()));
        if (!isLeader.getAsBoolean() || account.isEmpty()) {
            buckets.clear();
            return QuotaResponse.getDefaultInstance();
        }
        long nowMs = timeSource.monotonicMs();
        QuotaAllocation.BucketLimits limits =
                allocation.poolLimits(account.get(), gatewayCount.getAsInt());
        TokenBucket bucket =
                buckets.computeIfAbsent(
                        request.getAccount(),
                        name ->
                                new TokenBucket(
                                        limits.ratePerS(),
                                        limits.capacity(),
                                        limits.initialLevel(),
                                        nowMs));
        bucket.resize(limits.ratePerS(), limits.capacity(), nowMs);
        boolean isGranted = bucket.tryConsume(request.getAmount(), nowMs);
        return QuotaResponse.newBuilder()
                .setGranted(isGranted)
                .setWaitMs(isGranted ? 0 : bucket.waitMs(request.getAmount(), nowMs))
                .build();
    }
}
