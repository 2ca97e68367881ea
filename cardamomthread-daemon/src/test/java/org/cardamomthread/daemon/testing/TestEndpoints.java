package org.cardamomthread.daemon.testing;

import java.util.HashMap;
import java.util.Map;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.daemon.dialect.EndpointReport;
import org.cardamomthread.daemon.view.KnownEndpoint;

/**
 * Creates reports of endpoints in one data centre, of one version and in their first incarnation.
 */
public final class TestEndpoints {

    private static final int SLOTS = 8;

    private TestEndpoints() {}

    /** Creates a report of one endpoint. */
    public static EndpointReport createReport(
            String id, ServiceId service, String address, boolean isLeaving) {
        return new EndpointReport(
                new EndpointId(id),
                1,
                1,
                service,
                NetworkAddress.parse(address),
                new DataCentreId("perth-a"),
                new VersionId("v1"),
                SLOTS,
                isLeaving,
                0,
                false);
    }

    /** Creates warm endpoints e1, e2 and so on. */
    public static Map<EndpointId, KnownEndpoint> createEndpoints(
            ServiceId service, int count, boolean isLeaving) {
        Map<EndpointId, KnownEndpoint> endpoints = new HashMap<>();
        for (int i = 1; i <= count; i++) {
            EndpointReport report =
                    createReport("e" + i, service, "10.0.0." + i + ":80", isLeaving);
            endpoints.put(report.id(), new KnownEndpoint(report, 0));
        }
        return endpoints;
    }
}
