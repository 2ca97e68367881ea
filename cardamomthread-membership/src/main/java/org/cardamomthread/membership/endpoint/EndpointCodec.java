package org.cardamomthread.membership.endpoint;

import java.util.EnumSet;
import java.util.Set;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointClassId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.membership.generated.CacheEventMessage;
import org.cardamomthread.membership.generated.EndpointAnnouncementMessage;
import org.cardamomthread.membership.generated.EndpointDescriptionMessage;
import org.cardamomthread.membership.generated.EndpointLoadMessage;
import org.cardamomthread.membership.generated.ServedVersionMessage;

/** Converts between endpoint announcements and protocol messages. Stateless and thread-safe. */
public final class EndpointCodec {

    private EndpointCodec() {}

    /**
     * Converts an announcement to a protocol message.
     *
     * @param announcement the announcement to encode
     * @return the encoded message
     */
    public static EndpointAnnouncementMessage toMessage(EndpointAnnouncement announcement) {
        EndpointAnnouncementMessage.Builder message =
                EndpointAnnouncementMessage.newBuilder()
                        .setEndpointId(announcement.endpoint().value())
                        .setIncarnation(announcement.incarnation())
                        .setSequence(announcement.sequence())
                        .setDataCentre(announcement.dataCentre().value())
                        .setDescription(toMessage(announcement.description()))
                        .setLoad(toMessage(announcement.load()));
        for (CacheEvent event : announcement.cacheEvents()) {
            message.addCacheEvents(
                    CacheEventMessage.newBuilder()
                            .setSequence(event.sequence())
                            .setType(event.type())
                            .addAllBlocks(event.blocks()));
        }
        return message.build();
    }

    /**
     * Converts a protocol message to an announcement.
     *
     * @param message the message to decode
     * @return the decoded announcement
     * @throws IllegalArgumentException if a field is invalid
     */
    public static EndpointAnnouncement toAnnouncement(EndpointAnnouncementMessage message) {
        return new EndpointAnnouncement(
                new EndpointId(message.getEndpointId()),
                message.getIncarnation(),
                message.getSequence(),
                new DataCentreId(message.getDataCentre()),
                toDescription(message.getDescription()),
                toLoad(message.getLoad()),
                message.getCacheEventsList().stream().map(EndpointCodec::toCacheEvent).toList());
    }

    /**
     * Converts a description to a protocol message.
     *
     * @param description the description to encode
     * @return the encoded message
     */
    public static EndpointDescriptionMessage toMessage(EndpointDescription description) {
        EndpointDescriptionMessage.Builder message =
                EndpointDescriptionMessage.newBuilder()
                        .setAddress(description.address())
                        .setKind(description.kind().wireName())
                        .setEndpointClass(description.endpointClass().value())
                        .setPriceClass(description.priceClass().wireName())
                        .setState(description.state().wireName());
        for (ServedVersion served : description.services()) {
            message.addServices(
                    ServedVersionMessage.newBuilder()
                            .setService(served.service().value())
                            .setVersion(served.version().value())
                            .addAllAdapters(served.adapters()));
        }
        description
                .capabilities()
                .forEach(capability -> message.addCapabilities(capability.wireName()));
        return message.build();
    }

    /**
     * Converts a protocol message to a description. Unknown capabilities are ignored.
     *
     * @param message the message to decode
     * @return the decoded description
     * @throws IllegalArgumentException if the kind, price class or state is unknown
     */
    public static EndpointDescription toDescription(EndpointDescriptionMessage message) {
        Set<Capability> capabilities = EnumSet.noneOf(Capability.class);
        message.getCapabilitiesList()
                .forEach(text -> Capability.fromWireName(text).ifPresent(capabilities::add));
        return new EndpointDescription(
                message.getAddress(),
                EndpointKind.fromWireName(message.getKind()),
                new EndpointClassId(message.getEndpointClass()),
                PriceClass.fromWireName(message.getPriceClass()),
                message.getServicesList().stream().map(EndpointCodec::toServedVersion).toList(),
                capabilities,
                EndpointState.fromWireName(message.getState()));
    }

    /**
     * Converts a load to a protocol message. Rates and fractions are reduced to single precision.
     *
     * @param load the load to encode
     * @return the encoded message
     */
    public static EndpointLoadMessage toMessage(EndpointLoad load) {
        return EndpointLoadMessage.newBuilder()
                .setAtMs(load.measuredAtMs())
                .setRunning(load.running())
                .setQueued(load.queued())
                .setBearableRequests(load.concurrencyLimit())
                .setKvUsedFraction((float) load.kvUsedFraction())
                .setPrefillTokensPerSecond((float) load.prefillTokensPerSecond())
                .setDecodeTokensPerSecond((float) load.decodeTokensPerSecond())
                .build();
    }

    /**
     * Converts a protocol message to a load.
     *
     * @param message the message to decode
     * @return the decoded load
     * @throws IllegalArgumentException if a count is negative
     */
    public static EndpointLoad toLoad(EndpointLoadMessage message) {
        return new EndpointLoad(
                message.getAtMs(),
                message.getRunning(),
                message.getQueued(),
                message.getBearableRequests(),
                message.getKvUsedFraction(),
                message.getPrefillTokensPerSecond(),
                message.getDecodeTokensPerSecond());
    }

    private static ServedVersion toServedVersion(ServedVersionMessage message) {
        return new ServedVersion(
                new ServiceId(message.getService()),
                new VersionId(message.getVersion()),
                message.getAdaptersList());
    }

    private static CacheEvent toCacheEvent(CacheEventMessage message) {
        return new CacheEvent(message.getSequence(), message.getType(), message.getBlocksList());
    }
}
