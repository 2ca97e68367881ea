package org.cardamomthread.daemon.view;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.daemon.view.generated.PromptPartEvidence;
import org.cardamomthread.daemon.view.generated.PromptPartId;
import org.cardamomthread.daemon.view.generated.QuarantinedPart;
import org.cardamomthread.policy.quarantine.PromptPartKey;
import org.cardamomthread.policy.quarantine.QuarantineEntry;

/** Converts quarantined prompt parts to and from the messages between nodes. Stateless. */
public final class QuarantineCodec {

    private QuarantineCodec() {}

    /**
     * Encodes a key.
     *
     * @param key the key
     * @return the message to send
     */
    public static PromptPartId encode(PromptPartKey key) {
        return PromptPartId.newBuilder()
                .setService(key.service().value())
                .setPart(key.part())
                .build();
    }

    /**
     * Decodes a key.
     *
     * @param message the received message
     * @return the key, or empty if no release of this program sends such a message
     */
    public static Optional<PromptPartKey> decode(PromptPartId message) {
        try {
            return Optional.of(
                    PromptPartKey.of(new ServiceId(message.getService()), message.getPart()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Decodes the keys of a list of messages, without those that cannot be decoded.
     *
     * @param messages the received messages
     * @return the keys
     */
    public static List<PromptPartKey> decodeAll(Collection<PromptPartId> messages) {
        return messages.stream().flatMap(message -> decode(message).stream()).toList();
    }

    /**
     * Creates evidence of a kind that needs no further fields.
     *
     * @param kind the kind
     * @param key the part
     * @return the message to send
     */
    public static PromptPartEvidence createEvidence(
            PromptPartEvidence.Kind kind, PromptPartKey key) {
        return PromptPartEvidence.newBuilder().setKind(kind).setPart(encode(key)).build();
    }

    /**
     * Creates evidence that a service answers requests.
     *
     * @param service the service
     * @param sentAgoMs time since the latest answered request was sent
     * @return the message to send
     */
    public static PromptPartEvidence createServiceAnswer(ServiceId service, long sentAgoMs) {
        return createEvidence(
                        PromptPartEvidence.Kind.SERVICE_ANSWERED, PromptPartKey.of(service, ""))
                .toBuilder()
                .setAgeMs(sentAgoMs)
                .build();
    }

    /**
     * Decodes the endpoint of a loss.
     *
     * @param loss the received evidence
     * @return the endpoint, or empty if no release of this program sends such a message
     */
    static Optional<EndpointIncarnation> decodeEndpoint(PromptPartEvidence loss) {
        try {
            return Optional.of(
                    new EndpointIncarnation(new EndpointId(loss.getEndpoint()), loss.getStartMs()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    static QuarantinedPart encode(QuarantineEntry entry) {
        return QuarantinedPart.newBuilder()
                .setPart(encode(entry.key()))
                .setCrashes(entry.crashes())
                .setConfirmedCrashes(entry.confirmedCrashes())
                .setLostEndpoints(entry.lostEndpoints())
                .setVouched(entry.isVouched())
                .setHasCompanions(entry.hasCompanions())
                .setTrialWaitMs(entry.trialWaitMs())
                .build();
    }

    /**
     * Decodes an entry.
     *
     * @param message the received message
     * @return the entry, or empty if no release of this program sends such a message
     */
    static Optional<QuarantineEntry> decode(QuarantinedPart message) {
        Optional<PromptPartKey> key = decode(message.getPart());
        try {
            return key.map(
                    part ->
                            new QuarantineEntry(
                                    part,
                                    message.getCrashes(),
                                    message.getConfirmedCrashes(),
                                    message.getLostEndpoints(),
                                    message.getVouched(),
                                    message.getHasCompanions(),
                                    message.getTrialWaitMs()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
