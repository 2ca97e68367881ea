package org.cardamomthread.daemon.gateway;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import org.cardamomthread.configuration.declaration.ClientAccount;
import org.cardamomthread.core.id.ClientAccountId;

/**
 * Limits the calls of each client account on this node: calls beyond the concurrency limit are
 * queued, and calls beyond the queue limit are refused.
 *
 * <p>Invariants: never more than {@code maxConcurrent} calls of an account run and never more than
 * {@code queueLength} are queued; a released slot goes to the first call in the queue. Thread-safe;
 * actions run outside the lock.
 */
final class AccountConcurrencyLimiter {

    private final Map<ClientAccountId, AccountState> accounts = new HashMap<>();

    /** States whether a call was admitted. */
    enum Admission {
        /** The call has been started. */
        ADMITTED,
        /** The call is queued until a running call of the account ends. */
        QUEUED,
        /** The account has reached both limits; the call will not be started. */
        REFUSED
    }

    /**
     * Starts a call, queues it or refuses it.
     *
     * @param account the account with its current limits
     * @param action starts the call; runs in this method if the call is admitted at once
     * @return whether the call was started, queued or refused
     */
    Admission submit(ClientAccount account, Runnable action) {
        synchronized (this) {
            AccountState state = accounts.computeIfAbsent(account.id(), id -> new AccountState());
            if (state.running >= account.maxConcurrent()) {
                if (state.queue.size() >= account.queueLength()) {
                    return Admission.REFUSED;
                }
                state.queue.add(action);
                return Admission.QUEUED;
            }
            state.running++;
        }
        action.run();
        return Admission.ADMITTED;
    }

    /**
     * Removes a call from its account's queue.
     *
     * @param account the call's account
     * @param action the action that was passed to {@link #submit}
     * @return true if the call was queued and will not be started, false otherwise
     */
    synchronized boolean cancelQueued(ClientAccountId account, Runnable action) {
        AccountState state = accounts.get(account);
        return state != null && state.queue.remove(action);
    }

    /**
     * Releases the slot of a call that has ended and starts the next queued call, if any.
     *
     * @param account the account of a running call
     */
    void release(ClientAccountId account) {
        Runnable next;
        synchronized (this) {
            AccountState state = accounts.get(account);
            next = state.queue.poll();
            if (next == null) {
                state.running--;
                if (state.running == 0) {
                    accounts.remove(account);
                }
            }
        }
        if (next != null) {
            next.run();
        }
    }

    /** Holds the running and queued calls of one account. */
    private static final class AccountState {

        private final Queue<Runnable> queue = new ArrayDeque<>();
        private int running;
    }
}
