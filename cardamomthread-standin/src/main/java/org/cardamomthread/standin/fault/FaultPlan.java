package org.cardamomthread.standin.fault;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.standin.http.Exchange;
import org.cardamomthread.standin.http.Json;

/**
 * Holds the faults that were set, and picks the one for a request.
 *
 * <p>{@code POST /v1/faults} adds a fault, {@code DELETE /v1/faults} removes all. Used on the one
 * thread of the server only.
 */
public final class FaultPlan {

    private static final String PATH = "/v1/faults";

    private final TimeSource timeSource;
    private final List<Entry> entries = new ArrayList<>();

    /**
     * Creates a plan without faults.
     *
     * @param timeSource the clock
     */
    public FaultPlan(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /**
     * Handles a request to the control API.
     *
     * @param exchange the request
     * @return the fault that was set now, or empty if the request was something else
     * @throws IOException if the body is no fault
     */
    public Optional<Fault> control(Exchange exchange) throws IOException {
        Fault fault = Json.read(exchange.body(), Fault.class);
        if (fault.kind() != FaultKind.COLD && fault.kind() != FaultKind.LEAVING) {
            entries.add(new Entry(fault, timeSource.monotonicMs()));
        }
        exchange.reply(200, fault);
        return Optional.of(fault);
    }

    /**
     * Tells whether a request sets a fault.
     *
     * @param exchange the request
     * @return true for {@code POST /v1/faults}
     */
    public boolean sets(Exchange exchange) {
        return exchange.is("POST", PATH);
    }

    /**
     * Removes all faults if the request asks for it.
     *
     * @param exchange the request
     * @return true for {@code DELETE /v1/faults}, which is then answered
     */
    public boolean clears(Exchange exchange) {
        if (!exchange.is("DELETE", PATH)) {
            return false;
        }
        entries.clear();
        exchange.reply(200, Json.object());
        return true;
    }

    /**
     * Picks the first fault that applies to a request, and counts it.
     *
     * @param version the version that is asked for
     * @param path the path that is asked for
     * @param running requests that run now
     * @return the fault, or empty if the request goes well
     */
    public Optional<Fault> pick(String version, String path, int running) {
        Iterator<Entry> iterator = entries.iterator();
        while (iterator.hasNext()) {
            Entry entry = iterator.next();
            long ageMs = timeSource.monotonicMs() - entry.setAtMs;
            if (entry.fault.applies(version, path, running, ageMs)) {
                entry.picked++;
                if (entry.picked == entry.fault.count()) {
                    iterator.remove();
                }
                return Optional.of(entry.fault);
            }
        }
        return Optional.empty();
    }

    /** A fault and how often it was picked. */
    private static final class Entry {

        private final Fault fault;
        private final long setAtMs;
        private int picked;

        Entry(Fault fault, long setAtMs) {
            this.fault = fault;
            this.setAtMs = setAtMs;
        }
    }
}
