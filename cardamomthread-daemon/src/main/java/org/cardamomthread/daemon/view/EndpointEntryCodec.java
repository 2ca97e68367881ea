package org.cardamomthread.daemon.view;

import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.daemon.dialect.EndpointReport;
import org.cardamomthread.daemon.dialect.MalformedMessageException;
import org.cardamomthread.daemon.view.generated.EndpointEntry;

/** Converts endpoint reports to and from the messages exchanged between nodes. Stateless. */
public final class EndpointEntryCodec {

    private EndpointEntryCodec() {}

    /**
     * Encodes a report with the remaining cold time.
     *
     * @param report the endpoint's report
     * @param coldMs how long the endpoint stays cold from now on, in milliseconds
     * @return the message to send
     */
    public static EndpointEntry encode(EndpointReport report, long coldMs) {
        return EndpointEntry.newBuilder()
                .setId(report.id().value())
                .setBornMs(report.startTimeMs())
                .setSequence(report.sequence())
                .setService(report.service().value())
                .setAddress(report.address().toString())
                .setDataCentre(report.dataCentre().value())
                .setVersion(report.version().value())
                .setSlots(report.slots())
                .setLeaving(report.isDraining())
                .setColdMs(coldMs)
                .setReclaimable(report.isReclaimable())
                .build();
    }

    /**
     * Decodes a report from a message of another node.
     *
     * @param entry the received message
     * @return the decoded report
     * @throws MalformedMessageException if a field has no valid value
     */
    public static EndpointReport decode(EndpointEntry entry) throws MalformedMessageException {
        try {
            return new EndpointReport(
                    new EndpointId(entry.getId()),
                    entry.getBornMs(),
                    entry.getSequence(),
                    new ServiceId(entry.getService()),
                    NetworkAddress.parse(entry.getAddress()),
                    new DataCentreId(entry.getDataCentre()),
                    new VersionId(entry.getVersion()),
                    entry.getSlots(),
                    entry.getLeaving(),
                    entry.getColdMs(),
                    entry.getReclaimable());
        } catch (IllegalArgumentException e) {
            throw new MalformedMessageException(
                    "the entry of endpoint \"" + entry.getId() + "\": " + e.getMessage(), e);
        }
    }
}
