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
 * Borrows quota from the leader for single requests.
 *
 * <p>After a refusal an account is not asked for again for a while, and few questions are open at a
 * time, so that an account beyond its quota costs the leader little. All state is used on one
 * executor, on which the answers arrive too.
 */
public final class QuotaPoolClient {

    /** A leader in reach answers within a few milliseconds; longer waits cost more than a retry. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(100);

    /** Longest pause after a refusal, in milliseconds: shares of other gateways may lapse. */
    private static final long MAX_DENIAL_PAUSE_MS = 100;

    /** Open questions for one account: those of 100 ms at 160 requests a second and gateway. */
    private static final int MAX_REQUESTS_IN_FLIGHT = 16;

    private static final Logger LOGGER = LoggerFactory.getLogger(QuotaPoolClient.class);

    private final PeerTransport transport;
    private final Supplier<Optional<NodeId>> leader;
    private final Executor executor;
    private final TimeSource timeSource;
    private final Map<ClientAccountId, AccountState> accounts = new HashMap<>();

    /** Holds what is open and refused for one account. */
    private static final class AccountState {
        private int requestsInFlight;
        private long pausedUntilMs;
        private double deniedAmount;
    }

    /**
     * Creates a borrower.
     *
     * @param transport the links to control nodes
     * @param leader the node to ask, empty while none is known
     * @param executor runs the answers
     * @param timeSource the clock
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
     * Asks for quota.
     *
     * @param accountId the account
     * @param amount the quota units of a request
     * @param answer hears whether it was granted, at once or later on the executor
     */
    public void request(ClientAccountId accountId, double amount, Consumer<QuotaGrant> answer) {
        AccountState account = accounts.computeIfAbsent(accountId, id -> new AccountState());
        Optional<NodeId> target = leader.get();
        if (target.isEmpty() || account.requestsInFlight >= MAX_REQUESTS_IN_FLIGHT) {
            answer.accept(QuotaGrant.unavailable());
            return;
        }
        long pauseMs = account.pausedUntilMs - timeSource.monotonicMs();
        if (pauseMs > 0 && amount >= account.deniedAmount) {
            answer.accept(QuotaGrant.denied(pauseMs));
            return;
        }
        account.requestsInFlight++;
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
                            account.requestsInFlight--;
                            QuotaGrant grant = decode(payload, failure);
                            if (!grant.isGranted()) {
                                account.deniedAmount = amount;
                                account.pausedUntilMs =
                                        timeSource.monotonicMs()
                                                + Math.min(
                                                        MAX_DENIAL_PAUSE_MS,
                                                        grant.waitMs().orElse(0));
                            }
                            answer.accept(grant);
                        },
                        executor);
    }

    private static QuotaGrant decode(byte[] payload, Throwable failure) {
        if (failure != null) {
            LOGGER.atDebug().setCause(failure).log("no quota was borrowed");
            return QuotaGrant.unavailable();
        }
        try {
            QuotaResponse response = QuotaResponse.parseFrom(payload);
            return response.getGranted()
                    ? QuotaGrant.granted()
                    : QuotaGrant.denied(response.getWaitMs());
        } catch (InvalidProtocolBufferException e) {
            LOGGER.atWarn().setCause(e).log("an answer about quota cannot be read");
            return QuotaGrant.unavailable();
        }
    }
}
