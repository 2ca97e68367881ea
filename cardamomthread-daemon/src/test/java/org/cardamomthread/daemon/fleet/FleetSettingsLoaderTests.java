package org.cardamomthread.daemon.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.OptionalLong;
import org.cardamomthread.configuration.document.Document;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.cardamomthread.configuration.document.YamlReader;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.daemon.forwarding.WaitingLimits;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link FleetSettingsLoader}. */
public class FleetSettingsLoaderTests {

    private static final String GATEWAY =
            """
            role: gateway
            nodeName: "edge-1"
            ip: "10.1.0.14"
            dataCentre: "perth-a"
            peerPort: 7600
            peerKey: "a key of sixteen bytes"
            firstStart: true
            listeners:
              metrics: "10.1.0.14:9464"
              callers: "10.1.0.14:8221"
              readiness: "10.1.0.14:8224"
            seeds: ["10.3.0.36:8229", "10.1.0.16:8229"]
            limits:
              revocationMs: 5000
              leaseMs: 3000
              shutdownMs: 8000
              repeatRatio: 0.2
              repeatExtra: 54
              repeatWindowS: 10
              usageWindowS: 5
              usageLateS: 10
              quotaWindowS: 8
              quotaOvershoot: 0.1
              quotaSlack: 140000
            """;
    private static final String CONTROL =
            GATEWAY.replace("role: gateway", "role: control")
                            .replace(
                                    "  callers: \"10.1.0.14:8221\"",
                                    "  control: \"10.1.0.14:8229\"")
                    + "dataFolder: \"/data/control\"\nplatform: \"10.200.0.35:8225\"\n";

    @Test
    public void loadsBothRoles() throws InvalidDocumentException {
        FleetSettings gateway = load(GATEWAY);
        assertEquals(gateway.role(), FleetRole.GATEWAY);
        assertEquals(gateway.nodeId(), new NodeId("10.1.0.14"));
        assertEquals(
                gateway.seedNodes(), List.of(new NodeId("10.1.0.16"), new NodeId("10.3.0.36")));
        assertEquals(gateway.limits().viewLeaseMs(), 3_750);
        FleetSettings control = load(CONTROL);
        assertEquals(control.role(), FleetRole.CONTROL);
        assertTrue(control.platform().isPresent());
    }

    @DataProvider
    public Object[][] waitingLimits() {
        return new Object[][] {
            {"", 256, 4_194_304},
            {"  waitingRequests: 0\n", 0, 4_194_304},
            {"  waitingRequests: 4096\n  waitingBytes: 16777216\n", 4_096, 16_777_216},
        };
    }

    @Test(dataProvider = "waitingLimits")
    public void loadsTheLimitsOfWaitingRequests(String lines, int maxRequests, long maxBytes)
            throws InvalidDocumentException {
        assertEquals(
                load(GATEWAY + lines).limits().waitingLimits(),
                new WaitingLimits(maxRequests, maxBytes));
    }

    @DataProvider
    public Object[][] invalidWaitingLimits() {
        return new Object[][] {
            {"waitingRequests", "-1", "4096"},
            {"waitingRequests", "4097", "4096"},
            {"waitingRequests", "1.5", "4096"},
            {"waitingBytes", "99999999999999999999", "16777216"},
            {"waitingBytes", "\"4 MB\"", "16777216"},
        };
    }

    /** Guards against errors that do not tell which value would be valid. */
    @Test(dataProvider = "invalidWaitingLimits")
    public void namesFieldValueAndBoundOfAnInvalidLimit(String key, String value, String bound) {
        InvalidDocumentException invalid =
                expectThrows(
                        InvalidDocumentException.class,
                        () -> load(GATEWAY + "  " + key + ": " + value + "\n"));
        String message = invalid.getMessage();
        assertTrue(
                message.contains(key) && message.contains(value) && message.contains(bound),
                message);
    }

    @DataProvider
    public Object[][] controlNodeLosses() {
        return new Object[][] {
            {"", 1},
            {"  controlNodeLosses: 0\n", 0},
            {"  controlNodeLosses: 1\n", 1},
            {"  controlNodeLosses: 2\n", 2},
        };
    }

    @Test(dataProvider = "controlNodeLosses")
    public void loadsTheLossesThatMustBeOutlived(String line, int expected)
            throws InvalidDocumentException {
        assertEquals(load(GATEWAY + line).limits().controlNodeLosses(), expected);
    }

    @DataProvider
    public Object[][] dataCentreMargins() {
        return new Object[][] {
            {"", OptionalLong.empty()},
            {"  dataCentreMarginMs: 0\n", OptionalLong.of(0)},
            {"  dataCentreMarginMs: 60000\n", OptionalLong.of(60_000)},
        };
    }

    @Test(dataProvider = "dataCentreMargins")
    public void loadsDataCentreMargin(String line, OptionalLong expected)
            throws InvalidDocumentException {
        assertEquals(load(GATEWAY + line).limits().dataCentreMarginMs(), expected);
    }

    /** Guards against an error that leaves the operator to guess what is allowed. */
    @Test
    public void namesBoundsOfInvalidMargin() {
        String text = GATEWAY + "  dataCentreMarginMs: 60001\n";
        InvalidDocumentException failure =
                expectThrows(InvalidDocumentException.class, () -> load(text));
        assertTrue(failure.getMessage().contains("60001"), failure.getMessage());
        assertTrue(failure.getMessage().contains("0 to 60000"), failure.getMessage());
    }

    @Test
    public void ignoresUnknownKeys() throws InvalidDocumentException {
        assertEquals(load(GATEWAY + "colour: blue\n").role(), FleetRole.GATEWAY);
    }

    @DataProvider
    public Object[][] invalidSettings() {
        return new Object[][] {
            {"role: gateway", "role: bystander", "role"},
            {"nodeName: \"edge-1\"", "", "nodeName"},
            {"ip: \"10.1.0.14\"", "ip: \"example\"", "ip"},
            {"peerPort: 7600", "peerPort: \"7600\"", "peerPort"},
            {"peerPort: 7600", "peerPort: 70000", "peerPort"},
            {"a key of sixteen bytes", "short", "peerKey"},
            {"firstStart: true", "firstStart: maybe", "firstStart"},
            {"callers: \"10.1.0.14:8221\"", "", "listeners/callers"},
            {"callers: \"10.1.0.14:8221\"", "callers: \"here\"", "listeners/callers"},
            {"seeds: [\"10.3.0.36:8229\", \"10.1.0.16:8229\"]", "seeds: []", "seeds"},
            {"\"10.3.0.36:8229\"", "\"10.3.0.36\"", "seeds/0"},
            {"  leaseMs: 3000\n", "", "limits/leaseMs"},
            {"repeatRatio: 0.2", "repeatRatio: -1", "limits/repeatRatio"},
            {"  leaseMs", "  dataCentreMarginMs: -1\n  leaseMs", "limits/dataCentreMarginMs"},
            {"  leaseMs", "  dataCentreMarginMs: 60001\n  leaseMs", "limits/dataCentreMarginMs"},
            {"  leaseMs", "  dataCentreMarginMs: 1.5\n  leaseMs", "limits/dataCentreMarginMs"},
            {"  leaseMs", "  controlNodeLosses: -1\n  leaseMs", "limits/controlNodeLosses"},
            {"  leaseMs", "  controlNodeLosses: two\n  leaseMs", "limits/controlNodeLosses"},
            {"  leaseMs", "  maxHeaderLines: 0\n  leaseMs", "limits/maxHeaderLines"},
            {"  leaseMs", "  headTimeoutMs: 9000000\n  leaseMs", "limits/headTimeoutMs"},
            {"  leaseMs", "  clientMemoryBytes: 100\n  leaseMs", "limits/clientMemoryBytes"},
            {"  leaseMs", "  controlNodeLosses: 1.5\n  leaseMs", "limits/controlNodeLosses"},
        };
    }

    @Test(dataProvider = "invalidSettings")
    public void reportsKeyOfInvalidSetting(String valid, String invalid, String key) {
        String text = GATEWAY.replace(valid, invalid);
        InvalidDocumentException failure =
                expectThrows(InvalidDocumentException.class, () -> load(text));
        assertTrue(failure.getMessage().contains("\"" + key + "\""), failure.getMessage());
    }

    @Test
    public void requiresDataFolderOnControlNode() {
        String text = CONTROL.replace("dataFolder: \"/data/control\"", "");
        InvalidDocumentException failure =
                expectThrows(InvalidDocumentException.class, () -> load(text));
        assertTrue(failure.getMessage().contains("dataFolder"), failure.getMessage());
    }

    @Test
    public void recognizesFleetDocument() throws InvalidDocumentException {
        assertTrue(FleetSettingsLoader.isFleetDocument(parse(GATEWAY)));
        assertFalse(FleetSettingsLoader.isFleetDocument(parse("nodeId: perth-a-1\n")));
    }

    private static FleetSettings load(String text) throws InvalidDocumentException {
        return new FleetSettingsLoader().load(parse(text));
    }

    private static Document parse(String text) throws InvalidDocumentException {
        return YamlReader.parse("settings.yaml", text);
    }
}
