package org.cardamomthread.configuration.state;

import com.google.protobuf.InvalidProtocolBufferException;
import org.cardamomthread.configuration.generated.AcceptedResult;
import org.cardamomthread.configuration.generated.CommandResult;
import org.cardamomthread.configuration.generated.RejectedResult;
import org.cardamomthread.configuration.generated.StaleResult;
import org.cardamomthread.configuration.state.ConfigurationResult.Accepted;
import org.cardamomthread.configuration.state.ConfigurationResult.Rejected;
import org.cardamomthread.configuration.state.ConfigurationResult.Stale;

/** Converts results to and from their messages. Stateless and thread-safe. */
public final class ConfigurationResultCodec {

    private ConfigurationResultCodec() {}

    /**
     * Parses a result that {@link ConfigurationStateMachine#apply(byte[])} returned.
     *
     * @param bytes the encoded result
     * @return the result
     * @throws IllegalArgumentException if the bytes are not an encoded result
     */
    public static ConfigurationResult parse(byte[] bytes) {
        try {
            return fromMessage(CommandResult.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("bytes must be an encoded CommandResult", e);
        }
    }

    static CommandResult toMessage(ConfigurationResult result) {
        CommandResult.Builder message = CommandResult.newBuilder();
        if (result instanceof Accepted accepted) {
            message.setAccepted(
                    AcceptedResult.newBuilder()
                            .setRevision(accepted.revision())
                            .setFencingNumber(accepted.fencingNumber()));
        } else if (result instanceof Stale stale) {
            message.setStale(
                    StaleResult.newBuilder()
                            .setCurrentRevision(stale.revision())
                            .addAllDifferences(stale.differences())
                            .setDifferenceCount(stale.differenceCount()));
        } else if (result instanceof Rejected rejected) {
            message.setRejected(
                    RejectedResult.newBuilder()
                            .setCurrentRevision(rejected.revision())
                            .setReason(rejected.reason())
                            .setRemedy(rejected.remedy()));
        }
        return message.build();
    }

    static ConfigurationResult fromMessage(CommandResult message) {
        return switch (message.getResultCase()) {
            case ACCEPTED ->
                    new Accepted(
                            message.getAccepted().getRevision(),
                            message.getAccepted().getFencingNumber());
            case STALE ->
                    new Stale(
                            message.getStale().getCurrentRevision(),
                            message.getStale().getDifferencesList(),
                            message.getStale().getDifferenceCount());
            case REJECTED ->
                    new Rejected(
                            message.getRejected().getCurrentRevision(),
                            message.getRejected().getReason(),
                            message.getRejected().getRemedy());
            default -> throw new IllegalArgumentException("message must contain a result");
        };
    }
}
