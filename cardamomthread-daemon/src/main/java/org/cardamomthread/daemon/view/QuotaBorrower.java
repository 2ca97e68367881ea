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

/**
 * Borrows quota from the leader for single requests.
 *
 * <p>After a refusal an account is not asked for again for a while, and few questions are open at a
 * time, so that an account beyond its quota costs the leader little. All state is used on one
 * executor, on which the answers arrive too.
 */
public final class QuotaBorrower {

    /** A leader in reach answers within a few milliseconds; longer waits cost more than a retry. */
    private static final Duration TIMEOUT = Duration.ofMillis(100);

    /** Pause after a refusal, in milliseconds: at most ten questions a second and account. */
    private static final long REFUSAL_PAUSE_MS = 100;

    private static final int MAX_OPEN = 4;

    private final PeerTransport transport;
    private final Supplier<Optional<NodeId>> leader;
    private final Executor executor;
    private final TimeSource timeSource;
    private final Map<ClientAccountId, Account> accounts = new HashMap<>();

    /** Holds what is open and refused for one account. */
    private static final class Account {
        private int open;
        private long pausedUntilMs;
    }

    /**
     * Creates a borrower.
     *
     * @param transport the links to control nodes
     * @param leader the node to ask, empty while none is known
     * @param executor runs the answers
     * @param timeSource the clock
     */
    public QuotaBorrower(
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
    public void borrow(ClientAccountId accountId, double amount, Consumer<Boolean> answer) {
        Account account = accounts.computeIfAbsent(accountId, id -> new Account());
        Optional<NodeId> target = leader.get();
        boolean mayAsk =
                target.isPresent()
                        && account.open < MAX_OPEN
                        && timeSource.monotonicMs() >= account.pausedUntilMs;
        if (!mayAsk) {
            answer.accept(false);
            return;
        }
        account.open++;
        byte[] request =
                QuotaRequest.newBuilder()
                        .setAccount(accountId.value())
                        .setAmount(amount)
                        .build()
                        .toByteArray();
        transport
                .request(target.get(), QuotaPool.TOPIC, request, TIMEOUT)
                .whenCompleteAsync(
                        (payload, failure) -> {
                            account.open--;
                            boolean isGranted = failure == null && isGranted(payload);
                            if (!isGranted) {
                                account.pausedUntilMs = timeSource.monotonicMs() + REFUSAL_PAUSE_MS;
                            }
                            answer.accept(isGranted);
                        },
                        executor);
    }

    private static boolean isGranted(byte[] payload) {
        try {
            return QuotaResponse.parseFrom(payload).getGranted();
        } catch (InvalidProtocolBufferException e) {
            return false;
        }
    }
}
