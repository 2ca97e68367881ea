package org.cardamomthread.daemon.gateway;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.daemon.http.ProblemDetail;
import org.cardamomthread.daemon.http.ServerRequest;
import org.cardamomthread.execution.claim.AtMostOnceCall;
import org.cardamomthread.execution.claim.ClaimKey;

/**
 * Starts at-most-once calls, which require an idempotency key and are claimed in the replicated log
 * before they are sent.
 *
 * <p>Thread-safe.
 */
final class ReplicatedAtMostOnceCallStarter implements AtMostOnceCallStarter {

    private final NodeId node;
    private final long incarnation;
    private final CallDependencies dependencies;
    private final ClaimClient claims;
    private final AtomicLong lastAttemptNumber = new AtomicLong();

    /**
     * Creates a starter.
     *
     * @param node this node
     * @param incarnation the node's incarnation, which keeps attempt identifiers unique across
     *     restarts
     * @param dependencies the components that calls use
     * @param claims proposes claim commands
     */
    ReplicatedAtMostOnceCallStarter(
            NodeId node, long incarnation, CallDependencies dependencies, ClaimClient claims) {
        this.node = node;
        this.incarnation = incarnation;
        this.dependencies = dependencies;
        this.claims = claims;
    }

    @Override
    public void start(CallContext context, String endpointTarget) {
        ServerRequest request = context.getExchange().getRequest();
        Optional<String> key = request.getHeader("idempotency-key");
        if (key.isEmpty() || key.get().length() > ClaimKey.MAX_KEY_LENGTH) {
            context.respondWithProblem(createKeyRequiredProblem(context));
            return;
        }
        ClaimKey claimKey =
                new ClaimKey(context.getAccount(), context.getTarget().service(), key.get());
        String attemptId = node + ":" + incarnation + ":" + lastAttemptNumber.incrementAndGet();
        AtMostOnceCall stateMachine =
                new AtMostOnceCall(
                        claimKey, computeDigest(request, endpointTarget), node, attemptId);
        new AtMostOnceCallRunner(context, dependencies, claims, stateMachine, endpointTarget)
                .start();
    }

    private static ByteString computeDigest(ServerRequest request, String endpointTarget) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            String head = request.method().name() + " " + endpointTarget + "\n";
            digest.update(head.getBytes(StandardCharsets.UTF_8));
            digest.update(request.body());
            return ByteString.copyFrom(digest.digest());
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("the Java runtime must support SHA-256", exception);
        }
    }

    private static ProblemDetail createKeyRequiredProblem(CallContext context) {
        return ProblemDetail.createNotRun(
                400,
                "idempotency-key-required",
                "Idempotency key required",
                String.format(
                        "route \"%s\" of service \"%s\" is not repeatable: send an Idempotency-Key"
                                + " of 1 to %d characters, and the same key with each retry",
                        context.getTarget().route(),
                        context.getTarget().service(),
                        ClaimKey.MAX_KEY_LENGTH));
    }
}
