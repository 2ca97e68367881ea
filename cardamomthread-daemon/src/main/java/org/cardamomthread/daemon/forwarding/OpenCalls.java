package org.cardamomthread.daemon.forwarding;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Holds the calls that have not ended. Not thread-safe. */
final class OpenCalls {

    private final Set<ForwardedCall> calls = new LinkedHashSet<>();

    void add(ForwardedCall call) {
        calls.add(call);
    }

    void remove(ForwardedCall call) {
        calls.remove(call);
    }

    /** Ends all calls with a response that tells whether the request may have run. */
    void endAll() {
        List.copyOf(calls).forEach(ForwardedCall::endBecauseGatewayStops);
    }
}
