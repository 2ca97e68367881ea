package org.cardamomthread.daemon.control;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletionException;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.daemon.control.generated.GroupResponse;
import org.cardamomthread.daemon.control.generated.NotAppended;
import org.cardamomthread.daemon.control.generated.OutcomeUnknown;
import org.cardamomthread.replication.NotLeaderException;
import org.cardamomthread.replication.ReplicationException;
import org.cardamomthread.transport.PeerUnreachableException;

/** Builds responses from results and failures. Stateless and thread-safe. */
final class GroupResponses {

    private GroupResponses() {}

    static GroupResponse fromResult(byte[] result, Throwable failure) {
        return failure == null ? success(result) : failure(failure);
    }

    static GroupResponse success(byte[] result) {
        return GroupResponse.newBuilder().setAnswer(ByteString.copyFrom(result)).build();
    }

    static GroupResponse failure(Throwable failure) {
        Throwable cause = unwrap(failure);
        if (cause instanceof NotLeaderException notLeader) {
            return notAppended(
                    notLeader.leader().map(NodeId::value).orElse(""), cause.getMessage());
        }
        boolean isNotAppended =
                cause instanceof PeerUnreachableException
                        || cause instanceof ReplicationException replication
                                && replication.isGuaranteedNotAppended();
        return isNotAppended ? notAppended("", cause.getMessage()) : unknown(cause.toString());
    }

    static GroupResponse notAppended(String leader, String reason) {
        NotAppended outcome = NotAppended.newBuilder().setLeader(leader).setReason(reason).build();
        return GroupResponse.newBuilder().setNotAppended(outcome).build();
    }

    static GroupResponse unknown(String reason) {
        return GroupResponse.newBuilder()
                .setOutcomeUnknown(OutcomeUnknown.newBuilder().setReason(reason))
                .build();
    }

    private static Throwable unwrap(Throwable failure) {
        boolean isWrapped = failure instanceof CompletionException && failure.getCause() != null;
        return isWrapped ? failure.getCause() : failure;
    }
}
