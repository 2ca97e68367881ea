package org.cardamomthread.daemon.view;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cardamomthread.core.id.NodeId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests in virtual time how soon all gateways know of a new document and of an endpoint that leaves
 * at the same moment. Guards against requests to endpoints that have left while the document is on
 * its way.
 */
public class ViewDistributionTests {

    private static final NodeId LEADER = new NodeId("10.0.0.1");
    private static final int GATEWAYS = 100;
    private static final int ROUTES = 2_000;
    private static final double GATEWAY_MBIT_PER_S = 7;
    private static final long MAX_BYTES_PER_GATEWAY = 64 * 1024;
    private static final long LEAVE_BOUND_MS = 1_250;
    private static final long DOCUMENT_BOUND_MS = 2_500;
    private static final long STREAM_INTERVAL_MS = 100;
    private static final int STREAM_DOCUMENTS = 50;

    /**
     * Rates of the outgoing links of the control nodes, and the number of these nodes; 17.5 Mbit/s
     * is the share of a node with 0.9 core.
     */
    @DataProvider
    public Object[][] controlNodes() {
        return new Object[][] {{17.5, 1}, {100.0, 1}, {1_000.0, 1}, {7.0, 8}, {17.5, 8}};
    }

    @Test(dataProvider = "controlNodes")
    public void tellsAllGatewaysOfALeaveWhileTheDocumentGrows(double mbitPerS, int controlNodes) {
        try (SimulatedViewFleet fleet = new SimulatedViewFleet(new SplittableRandom(1))) {
            fleet.addControlNode(LEADER, mbitPerS);
            for (int i = 1; i < controlNodes; i++) {
                fleet.addControlNode(new NodeId("10.0.1." + i), mbitPerS);
            }
            fleet.replaceDocument(1, SimulatedViewFleet.createDocument(1, 1));
            fleet.addEndpoint();
            fleet.startGateways(GATEWAYS, GATEWAY_MBIT_PER_S);
            fleet.run(3_000);
            long startMs = fleet.nowMs();
            long sentBytes = fleet.network().sentBytes(LEADER);
            fleet.replaceDocument(2, SimulatedViewFleet.createDocument(2, ROUTES));
            fleet.drainEndpoint();
            fleet.run(DOCUMENT_BOUND_MS);
            List<String> late = new ArrayList<>();
            for (SimulatedViewFleet.Gateway gateway : fleet.gateways()) {
                long leaveMs = gateway.leaveMs() - startMs;
                boolean hasDocument = gateway.view().documentVersion() == 2;
                if (leaveMs > LEAVE_BOUND_MS || !hasDocument || !gateway.isLeaseHeld()) {
                    late.add(leaveMs + " ms, document: " + hasDocument);
                }
            }
            long sentToEachBytes = (fleet.network().sentBytes(LEADER) - sentBytes) / GATEWAYS;
            assertTrue(sentToEachBytes < MAX_BYTES_PER_GATEWAY, sentToEachBytes + " bytes");
            assertEquals(late, List.of(), "gateways that learnt late");
        }
    }

    @DataProvider
    public Object[][] streams() {
        return new Object[][] {{100.0, 1}, {100.0, 3}, {1_000.0, 3}};
    }

    /** Guards against gateways that start over with each document of a stream. */
    @Test(dataProvider = "streams")
    public void bringsEachDocumentOfAStreamIntoForceInTime(double mbitPerS, int controlNodes) {
        try (SimulatedViewFleet fleet = new SimulatedViewFleet(new SplittableRandom(1))) {
            fleet.addControlNode(LEADER, mbitPerS);
            for (int i = 1; i < controlNodes; i++) {
                fleet.addControlNode(new NodeId("10.0.1." + i), mbitPerS);
            }
            fleet.replaceDocument(1, SimulatedViewFleet.createDocument(1, ROUTES));
            fleet.startGateways(GATEWAYS, GATEWAY_MBIT_PER_S);
            fleet.run(3_000);
            long boundVersions = DOCUMENT_BOUND_MS / STREAM_INTERVAL_MS;
            List<String> late = new ArrayList<>();
            for (long version = 2; version < 2 + STREAM_DOCUMENTS; version++) {
                fleet.replaceDocument(version, SimulatedViewFleet.createDocument(version, ROUTES));
                fleet.run(STREAM_INTERVAL_MS);
                for (SimulatedViewFleet.Gateway gateway : fleet.gateways()) {
                    long behind = version - gateway.view().documentVersion();
                    if (behind > boundVersions) {
                        late.add("version " + version + ": " + behind + " behind");
                    }
                }
            }
            assertEquals(late, List.of(), "gateways that fell behind");
        }
    }
}
