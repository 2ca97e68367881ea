package org.cardamomthread.daemon.gateway;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import org.cardamomthread.configuration.declaration.ClientAccount;
import org.cardamomthread.core.id.ClientAccountId;

/**
 * Bounds the calls of each client account on this node: some run, some wait, the rest are refused.
 *
 * <p>Invariants: never more than {@code maxConcurrent} calls of an account run and never more than
 * {@code queueLength} wait; a place that is given back goes to the first that waits. Safe for use
 * by several threads; actions run outside the lock.
 */
final class AccountGate {

    private final Map<ClientAccountId, Places> accounts = new HashMap<>();

    /** Says what became of a call at the gate. */
    enum Entry {
        /** The call runs now. */
        ADMITTED,
        /** The call waits for a place. */
        WAITING,
        /** The account has too many calls. */
        REFUSED
    }

    /**
     * Lets a call in, now or later.
     *
     * @param account the account with its bounds in force
     * @param action runs once the call may go on, perhaps before this method returns
     * @return what became of the call
     */
    Entry enter(ClientAccount account, Runnable action) {
        synchronized (this) {
            Places places = accounts.computeIfAbsent(account.id(), id -> new Places());
            if (places.running >= account.maxConcurrent()) {
                if (places.waiting.size() >= account.queueLength()) {
                    return Entry.REFUSED;
                }
                places.waiting.add(action);
                return Entry.WAITING;
            }
            places.running++;
        }
        action.run();
        return Entry.ADMITTED;
    }

    /**
     * Takes a waiting call out of the queue.
     *
     * @param account the account
     * @param action the action as it was handed in
     * @return false if the call has been let in
     */
    synchronized boolean withdraw(ClientAccountId account, Runnable action) {
        Places places = accounts.get(account);
        return places != null && places.waiting.remove(action);
    }

    /**
     * Gives back the place of a call that ran.
     *
     * @param account the account
     */
    void leave(ClientAccountId account) {
        Runnable next;
        synchronized (this) {
            Places places = accounts.get(account);
            next = places.waiting.poll();
            if (next == null) {
                places.running--;
                if (places.running == 0) {
                    accounts.remove(account);
                }
            }
        }
        if (next != null) {
            next.run();
        }
    }

    /** Counts the calls of one account. */
    private static final class Places {

        private final Queue<Runnable> waiting = new ArrayDeque<>();
        private int running;
    }
}
