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
 * Keeps the injected faults and selects the one that applies to a request.
 *
 * <p>{@code POST /v1/faults} adds a fault, {@code DELETE /v1/faults} removes all. Confined to the
 * event loop thread of the server.
 */
public final class FaultPlan {

    private static final String PATH = "/v1/faults";

    private final TimeSource timeSource;
    private final List<InjectedFault> injectedFaults = new ArrayList<>();

    /**
     * Creates an empty plan.
     *
     * @param timeSource the clock for the age of a fault
     */
    public FaultPlan(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /**
     * Adds the fault in the body of a request and responds to the request.
     *
     * @param exchange a request for which {@link #isAddRequest} returns true
     * @return the added fault; the caller applies {@code COLD} and {@code LEAVING} itself
     * @throws IOException if the body is not a valid fault
     */
    public Optional<Fault> add(Exchange exchange) throws IOException {
        Fault fault = Json.read(exchange.body(), Fault.class);
        if (fault.kind() != FaultKind.COLD && fault.kind() != FaultKind.LEAVING) {
            injectedFaults.add(new InjectedFault(fault, timeSource.monotonicMs()));
        }
        exchange.reply(200, fault);
        return Optional.of(fault);
    }

    /**
     * Returns whether a request adds a fault.
     *
     * @param exchange the request
     * @return true for {@code POST /v1/faults}
     */
    public boolean isAddRequest(Exchange exchange) {
        return exchange.matches("POST", PATH);
    }

    /**
     * Removes all faults and responds if the request is one to do so.
     *
     * @param exchange the request
     * @return true if the request was {@code DELETE /v1/faults} and a response was sent
     */
    public boolean clearIfRequested(Exchange exchange) {
        if (!exchange.matches("DELETE", PATH)) {
            return false;
        }
        injectedFaults.clear();
        exchange.reply(200, Json.object());
        return true;
    }

    /**
     * Selects the first fault that matches a request and counts the match towards its limit.
     *
     * @param version the requested version
     * @param path the requested path
     * @param running the number of requests now running
     * @return the fault, or empty if none matches
     */
    public Optional<Fault> select(String version, String path, int running) {
        Iterator<InjectedFault> iterator = injectedFaults.iterator();
        while (iterator.hasNext()) {
            InjectedFault injected = iterator.next();
            long ageMs = timeSource.monotonicMs() - injected.addedAtMs;
            if (injected.fault.matches(version, path, running, ageMs)) {
                injected.matchCount++;
                if (injected.matchCount == injected.fault.count()) {
                    iterator.remove();
                }
                return Optional.of(injected.fault);
            }
        }
        return Optional.empty();
    }

    /** A fault with the time it was added and the number of requests it matched. */
    private static final class InjectedFault {

        private final Fault fault;
        private final long addedAtMs;
        private int matchCount;

        InjectedFault(Fault fault, long addedAtMs) {
            this.fault = fault;
            this.addedAtMs = addedAtMs;
        }
    }
}
