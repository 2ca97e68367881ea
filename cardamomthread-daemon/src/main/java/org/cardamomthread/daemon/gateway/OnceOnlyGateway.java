package org.cardamomthread.daemon.gateway;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.daemon.http.HttpCall;
import org.cardamomthread.daemon.http.Problem;
import org.cardamomthread.execution.claim.ClaimKey;
import org.cardamomthread.execution.claim.OnceOnlyCall;

/**
 * Starts calls that may run at most once.
 *
 * <p>Safe for use by several threads.
 */
final class OnceOnlyGateway implements OnceOnlyStarter {

    private final NodeId node;
    private final long incarnation;
    private final CallServices services;
    private final ClaimClient claims;
    private final AtomicLong lastAttempt = new AtomicLong();

    /**
     * Creates a starter.
     *
     * @param node this node
     * @param incarnation the node's incarnation, which makes attempts unique
     * @param services what calls work with
     * @param claims proposes claims
     */
    OnceOnlyGateway(NodeId node, long incarnation, CallServices services, ClaimClient claims) {
        this.node = node;
        this.incarnation = incarnation;
        this.services = services;
        this.claims = claims;
    }

    @Override
    public void start(CallScope scope, String endpointTarget) {
        HttpCall call = scope.getExchange().getCall();
        Optional<String> key = call.getHeader("idempotency-key");
        if (key.isEmpty() || key.get().length() > ClaimKey.MAX_KEY_LENGTH) {
            scope.refuse(createKeyProblem(scope));
            return;
        }
        ClaimKey claimKey =
                new ClaimKey(scope.getAccount(), scope.getTarget().service(), key.get());
        String attemptId = node + ":" + incarnation + ":" + lastAttempt.incrementAndGet();
        OnceOnlyCall steps =
                new OnceOnlyCall(claimKey, computeDigest(call, endpointTarget), node, attemptId);
        new OnceOnlyRunner(scope, services, claims, steps, endpointTarget).start();
    }

    private static ByteString computeDigest(HttpCall call, String endpointTarget) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            String head = call.method().name() + " " + endpointTarget + "\n";
            digest.update(head.getBytes(StandardCharsets.UTF_8));
            digest.update(call.body());
            return ByteString.copyFrom(digest.digest());
        } catch (NoSuchAlgorithmException failure) {
            throw new IllegalStateException("the runtime must offer SHA-256", failure);
        }
    }

    private static Problem createKeyProblem(CallScope scope) {
        return Problem.createNotRun(
                400,
                "idempotency-key-required",
                "Idempotency key required",
                String.format(
                        "route \"%s\" of service \"%s\" may run at most once: send an"
                                + " Idempotency-Key of 1 to %d characters, and the same one again"
                                + " with a resend",
                        scope.getTarget().route(),
                        scope.getTarget().service(),
                        ClaimKey.MAX_KEY_LENGTH));
    }
}
