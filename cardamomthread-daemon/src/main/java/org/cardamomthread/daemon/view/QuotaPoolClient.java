package org.cardamomthread.daemon.view;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.view.generated.QuotaRequest;
import org.cardamomthread.daemon.view.generated.QuotaResponse;
import org.cardamomthread.transport.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests quota from the leader's pool for individual requests.
 *
 * <p>After a denial, requests of the same account are denied locally for a short time, and the
 * number of requests in flight is limited, so that an account over its quota causes little load on
 * the leader. All state is confined to one executor, on which the responses arrive too.
 */
public final class QuotaPoolClient {

    /**
     * Timeout of a request; a reachable leader responds within a few milliseconds, and waiting
     * longer costs more than a retry by the client.
     */
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(100);

    /**
     * Longest pause after a denial, in milliseconds; quota may become available earlier than
     * announced when shares of other gateways lapse.
     */
    private static final long MAX_DENIAL_PAUSE_MS = 100;

    /**
     * Maximum number of requests in flight for one account: the number that a gateway sends within
     * the timeout of 100 ms at 160 requests per second.
     */
    private static final int MAX_REQUESTS_IN_FLIGHT = 16;

    private static final Logger LOGGER = LoggerFactory.getLogger(QuotaPoolClient.class);

    private final PeerTransport transport;
    private final Supplier<Optional<NodeId>> leader;
    private final Executor executor;
    private final TimeSource timeSource;
    private final Map<ClientAccountId, AccountState> accounts = new HashMap<>();

    /** Holds the requests in flight and the last denial of one account. */
    private static final class AccountState {
        private int requestsInFlight;
        private long pausedUntilMs;
        private double deniedAmount;
    }

    /**
     * Creates a client without requests in flight.
     *
     * @param transport sends the requests to the leader
     * @param leader supplies the current leader, empty while none is known
     * @param executor runs the callbacks
     * @param timeSource supplies monotonic time
     */
    public QuotaPoolClient(
            PeerTransport transport,
            Supplier<Optional<NodeId>> leader,
            Executor executor,
            TimeSource timeSource) {
        this.transport = transport;
        this.leader = leader;
        this.executor = executor;
        this.timeSource = timeSource;
    }

    /**
     * Requests quota for one request of a client account.
     *
     * @param accountId the client account
     * @param amount the quota units that the request needs
     * @param callback receives the result, either before this method returns or later on the
     *     executor
     */
    public void request(ClientAccountId accountId, double amount, Consumer<QuotaGrant> callback) {
        AccountState state = accounts.computeIfAbsent(accountId, id -> new AccountState());
        Optional<NodeId> target = leader.get();
        if (target.isEmpty() || state.requestsInFlight >= MAX_REQUESTS_IN_FLIGHT) {
            callback.accept(QuotaGrant.unavailable());
            return;
        }
        long pauseMs = state.pausedUntilMs - timeSource.monotonicMs();
        if (pauseMs > 0 && amount >= state.deniedAmount) {
            callback.accept(QuotaGrant.denied(pauseMs));
            return;
        }
        state.requestsInFlight++;
        byte[] request =
                QuotaRequest.newBuilder()
                        .setAccount(accountId.value())
                        .setAmount(amount)
                        .build()
                        .toByteArray();
        transport
                .request(target.get(), QuotaPool.TOPIC, request, REQUEST_TIMEOUT)
                .whenCompleteAsync(
                        (payload, failure) -> {
                            state.requestsInFlight--;
                            QuotaGrant grant = decode(payload, failure);
                            if (!grant.isGranted()) {
                                state.deniedAmount = amount;
                                state.pausedUntilMs =
                                        timeSource.monotonicMs()
                                                + Math.min(
                                                        MAX_DENIAL_PAUSE_MS,
                                                        grant.waitMs().orElse(0));
                            }
                            callback.accept(grant);
                        },
                        executor);
    }

    private static QuotaGrant decode(byte[] payload, Throwable failure) {
        if (failure != null) {
            LOGGER.atDebug().setCause(failure).log("requesting quota from the leader failed");
            return QuotaGrant.unavailable();
        }
        try {
            QuotaResponse response = QuotaResponse.parseFrom(payload);
            return response.getGranted()
                    ? QuotaGrant.granted()
                    : QuotaGrant.denied(response.getWaitMs());
        } catch (InvalidProtocolBufferException e) {
            LOGGER.atWarn()
                    .setCause(e)
                    .log(
                            "received an unreadable quota response: run the"
                                    + " same release on all nodes");
            return QuotaGrant.unavailable();
        }
    }
}
