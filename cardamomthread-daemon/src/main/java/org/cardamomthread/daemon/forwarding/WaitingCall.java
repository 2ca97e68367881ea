package org.cardamomthread.daemon.forwarding;

import org.cardamomthread.daemon.http.ServerRequest;
import org.cardamomthread.policy.admission.WaitingRequest;

/**
 * Holds a call that waits for an endpoint. Immutable.
 *
 * @param call the call
 * @param request the request that it forwards
 * @param clientRequest the request as it was received
 * @param entry the entry by which it is ordered
 * @param enteredMs when it began to wait, in monotonic milliseconds
 */
record WaitingCall(
        ForwardedCall call,
        AdmittedRequest request,
        ServerRequest clientRequest,
        WaitingRequest entry,
        long enteredMs) {}
