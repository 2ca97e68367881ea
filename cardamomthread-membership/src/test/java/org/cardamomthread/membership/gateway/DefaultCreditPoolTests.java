package org.cardamomthread.membership.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.membership.generated.CreditDemand;
import org.cardamomthread.membership.generated.CreditGrant;
import org.cardamomthread.membership.generated.EndpointDescriptionMessage;
import org.cardamomthread.membership.generated.EndpointGrantMessage;
import org.cardamomthread.membership.generated.EndpointLoadMessage;
import org.cardamomthread.membership.generated.PeerMessage;
import org.cardamomthread.membership.node.DefaultNodeDirectory;
import org.cardamomthread.membership.node.NodeAddresses;
import org.cardamomthread.membership.node.NodeDirectorySettings;
import org.cardamomthread.membership.node.NodeEntry;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link DefaultCreditPool} with grants of one home. */
public class DefaultCreditPoolTests {

    private static final NodeId NODE = new NodeId("node-a");
    private static final DataCentreId DATA_CENTRE = new DataCentreId("perth-a");
    private static final EndpointId SOUND = new EndpointId("sound");

    @DataProvider
    public Object[][] malformedGrants() {
        EndpointGrantMessage sound = grant(1, "odd");
        EndpointDescriptionMessage description = sound.getDescription();
        EndpointLoadMessage.Builder load = EndpointLoadMessage.newBuilder().setRunning(-1);
        return new Object[][] {
            {sound.toBuilder().setEndpointId("").build()},
            {sound.toBuilder().setDataCentre("x".repeat(129)).build()},
            {sound.toBuilder().setDescription(description.toBuilder().setKind("other")).build()},
            {sound.toBuilder().setDescription(description.toBuilder().setState("")).build()},
            {sound.toBuilder().setLoad(load).build()},
        };
    }

    @Test(dataProvider = "malformedGrants")
    public void appliesTheOtherEntriesOfAGrantWithAMalformedOne(EndpointGrantMessage malformed) {
        DefaultCreditPool pool = createPool();
        CreditDemand demand = pool.tick().get(0).message().getCreditDemand();
        CreditGrant grant =
                CreditGrant.newBuilder()
                        .setHomeIncarnation(1)
                        .setDemandSequence(demand.getSequence())
                        .setLeaseMs(2_000)
                        .addEndpoints(malformed)
                        .addEndpoints(grant(2, SOUND.value()))
                        .build();
        pool.receive(NODE, PeerMessage.newBuilder().setCreditGrant(grant).build());
        List<EndpointId> endpoints =
                pool.endpoints().stream().map(EndpointSnapshot::endpoint).toList();
        assertEquals(endpoints, List.of(SOUND));
        assertTrue(pool.tryAcquire(SOUND).isPresent());
    }

    private static DefaultCreditPool createPool() {
        ManualTimeSource time = new ManualTimeSource();
        NodeEntry self =
                new NodeEntry(
                        NODE,
                        1,
                        0,
                        DATA_CENTRE,
                        new NodeAddresses("", "", "", ""),
                        false,
                        Optional.empty(),
                        false);
        DefaultNodeDirectory directory =
                new DefaultNodeDirectory(
                        self, List.of(self), NodeDirectorySettings.defaults(), time, new Random(1));
        return new DefaultCreditPool(directory, CreditPoolSettings.defaults(), time);
    }

    private static EndpointGrantMessage grant(int handle, String endpoint) {
        return EndpointGrantMessage.newBuilder()
                .setHandle(handle)
                .setLimit(4)
                .setEndpointIncarnation(1)
                .setEndpointId(endpoint)
                .setDataCentre(DATA_CENTRE.value())
                .setDescription(
                        EndpointDescriptionMessage.newBuilder()
                                .setAddress("10.0.0.1:80")
                                .setKind("model")
                                .setEndpointClass("small")
                                .setPriceClass("on-demand")
                                .setState("ready"))
                .setLoad(EndpointLoadMessage.newBuilder().setBearableRequests(4))
                .build();
    }
}
