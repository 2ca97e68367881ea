package org.cardamomthread.processes;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the exit codes of a node that fails to start. */
@Test(groups = "processes")
public class StartFailureTests {

    private static final long EXIT_TIMEOUT_MS = 20_000;
    private static final String NODE = "perth-a-1";

    private Cluster cluster;

    @BeforeMethod
    public void create() throws Exception {
        cluster = new Cluster("start");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        cluster.close();
    }

    @DataProvider
    public Object[][] listeners() {
        return new Object[][] {{"callers"}, {"endpoints"}, {"operators"}, {"peers"}};
    }

    @Test(dataProvider = "listeners")
    public void exitsWithCode3WhenAPortIsInUse(String listener) throws Exception {
        NodePorts node = cluster.node(NODE);
        int port =
                switch (listener) {
                    case "callers" -> node.callers();
                    case "endpoints" -> node.endpoints();
                    case "operators" -> node.operators();
                    default -> node.peers();
                };
        try (ServerSocket taken = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            ManagedProcess process = cluster.startNode(NODE);
            assertEquals(process.awaitExit(EXIT_TIMEOUT_MS), 3, process.log());
            assertTrue(process.log().contains(Integer.toString(taken.getLocalPort())));
        }
    }

    @Test
    public void exitsWithCode4WhenTheDataFolderCannotBeUsed() throws Exception {
        Files.writeString(cluster.folder().resolve("data-" + NODE), "a file in its place");
        ManagedProcess process = cluster.startNode(NODE);
        assertEquals(process.awaitExit(EXIT_TIMEOUT_MS), 4, process.log());
        assertTrue(process.log().contains("data-" + NODE), process.log());
    }

    @DataProvider
    public Object[][] invalidSettings() {
        return new Object[][] {{"nodeId: ["}, {"nodeId: a"}, {""}};
    }

    @Test(dataProvider = "invalidSettings")
    public void exitsWithCode2WhenSettingsAreInvalid(String yaml) throws Exception {
        Path file = cluster.folder().resolve("wrong.yaml");
        Files.writeString(file, yaml);
        ManagedProcess process =
                ManagedProcess.start(
                        "wrong",
                        cluster.folder(),
                        "cardamomthread-daemon",
                        List.of("--settings", file.toString()));
        assertEquals(process.awaitExit(EXIT_TIMEOUT_MS), 2, process.log());
        assertTrue(process.log().contains("wrong.yaml"), process.log());
    }
}
