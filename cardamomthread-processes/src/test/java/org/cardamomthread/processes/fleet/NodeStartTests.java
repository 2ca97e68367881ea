package org.cardamomthread.processes.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.cardamomthread.processes.ManagedProcess;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what a node process meets in its first seconds: it waits where waiting helps. */
@Test(groups = "processes")
public class NodeStartTests {

    private static final String GATEWAY = "gateway";
    private static final String CONTROL = "control";
    private static final long EXIT_TIMEOUT_MS = 30_000;
    private static final int BACKLOG = 1;

    private StartingNode node;
    private StartingNode twin;

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        if (node != null) {
            node.close();
        }
        if (twin != null) {
            twin.close();
            twin = null;
        }
    }

    @DataProvider
    public Object[][] roles() {
        return new Object[][] {{GATEWAY}, {CONTROL}};
    }

    @Test(dataProvider = "roles")
    public void survivesHangUpBeforeItHasStarted(String role) throws Exception {
        node = new StartingNode(role);
        node.makeSettingsPipe();
        ManagedProcess process = node.startProcess();
        try (OutputStream settings = node.awaitSettingsReader()) {
            process.hangUp();
            node.requireStillRunning();
            Files.delete(node.settingsFile());
            node.writeSettings(node.settings());
            settings.write(node.settings().getBytes(StandardCharsets.UTF_8));
        }
        node.awaitStarted();
    }

    @Test(dataProvider = "roles")
    public void stopsOnTerminationBeforeItHasStarted(String role) throws Exception {
        node = new StartingNode(role);
        node.makeSettingsPipe();
        ManagedProcess process = node.startProcess();
        try (OutputStream settings = node.awaitSettingsReader()) {
            process.terminate();
            process.awaitExit(EXIT_TIMEOUT_MS);
        }
        assertExitLine(process, 0);
    }

    @DataProvider
    public Object[][] listeners() {
        return new Object[][] {
            {GATEWAY, "peers"},
            {GATEWAY, "callers"},
            {GATEWAY, "readiness"},
            {GATEWAY, "metrics"},
            {CONTROL, "peers"},
            {CONTROL, "control"},
            {CONTROL, "metrics"},
        };
    }

    @Test(dataProvider = "listeners")
    public void waitsForAnAddressThatAnEndingProcessHolds(String role, String listener)
            throws Exception {
        node = new StartingNode(role);
        try (ServerSocket held = hold(listener)) {
            node.start();
            node.awaitLog(node.ip() + ":" + held.getLocalPort());
            node.requireStillRunning();
        }
        node.awaitStarted();
    }

    @Test(dataProvider = "listeners")
    public void stopsOnTerminationWhileItWaitsForAnAddress(String role, String listener)
            throws Exception {
        node = new StartingNode(role);
        try (ServerSocket held = hold(listener)) {
            ManagedProcess process = node.start();
            node.awaitLog(node.ip() + ":" + held.getLocalPort());
            process.terminate();
            assertEquals(process.awaitExit(EXIT_TIMEOUT_MS), 0, process.log());
            assertExitLine(process, 0);
        }
    }

    @Test
    public void endsWithCode3WhenAnAddressStaysInUse() throws Exception {
        node = new StartingNode(GATEWAY);
        try (ServerSocket held = hold("callers")) {
            ManagedProcess process = node.start();
            assertEquals(process.awaitExit(EXIT_TIMEOUT_MS), 3, process.log());
            assertTrue(process.log().contains(":" + held.getLocalPort()), process.log());
            assertExitLine(process, 3);
        }
    }

    @DataProvider
    public Object[][] unfinishedSettings() {
        return new Object[][] {
            {GATEWAY, "missing"},
            {GATEWAY, "empty"},
            {GATEWAY, "cut"},
            {GATEWAY, "not UTF-8"},
            {CONTROL, "missing"},
            {CONTROL, "empty"},
            {CONTROL, "cut"},
            {CONTROL, "not UTF-8"},
            {CONTROL, "nested"},
        };
    }

    @Test(dataProvider = "unfinishedSettings")
    public void waitsForSettingsThatAreStillBeingWritten(String role, String state)
            throws Exception {
        node = new StartingNode(role);
        writeUnfinishedSettings(state);
        node.startProcess();
        node.awaitLog(node.settingsFile().toString());
        node.writeSettings(node.settings());
        node.awaitStarted();
    }

    @Test
    public void endsWithCode2WhenSettingsStayInvalid() throws Exception {
        node = new StartingNode(GATEWAY);
        node.writeSettings(node.settings().replace("role: gateway", "role: gatekeeper"));
        ManagedProcess process = node.startProcess();
        assertEquals(process.awaitExit(EXIT_TIMEOUT_MS), 2, process.log());
        assertTrue(process.log().contains("GATEKEEPER"), process.log());
        assertExitLine(process, 2);
    }

    @DataProvider
    public Object[][] changedSettings() {
        return new Object[][] {
            {GATEWAY, "missing"},
            {GATEWAY, "empty"},
            {GATEWAY, "cut"},
            {GATEWAY, "not UTF-8"},
            {GATEWAY, "nested"},
            {CONTROL, "nested"},
        };
    }

    @Test(dataProvider = "changedSettings")
    public void survivesHangUpWithUnreadableSettings(String role, String state) throws Exception {
        node = new StartingNode(role);
        ManagedProcess process = node.start();
        node.awaitStarted();
        writeUnfinishedSettings(state);
        process.hangUp();
        node.awaitLog("settings-refused");
        node.requireStillRunning();
    }

    @Test
    public void waitsForTheDataFolderOfAProcessThatStandsStill() throws Exception {
        node = new StartingNode(CONTROL);
        ManagedProcess first = node.start();
        node.awaitStarted();
        first.suspend();
        twin = node.createTwin();
        twin.start();
        twin.awaitLog(node.dataFolder().toString());
        twin.requireStillRunning();
        first.kill();
        twin.awaitStarted();
    }

    @Test
    public void waitsForRoomOnAFullDisk() throws Exception {
        node = new StartingNode(CONTROL);
        Files.createDirectories(node.dataFolder());
        Path full = Files.createSymbolicLink(voterFile(), Path.of("/dev/full"));
        node.start();
        node.awaitLog(node.dataFolder().toString());
        node.requireStillRunning();
        Files.delete(full);
        node.awaitStarted();
    }

    @Test
    public void waitsForADataFolderWhosePathIsAFile() throws Exception {
        node = new StartingNode(CONTROL);
        Files.writeString(node.dataFolder(), "a file in its place");
        node.start();
        node.awaitLog(node.dataFolder().toString());
        node.requireStillRunning();
        Files.delete(node.dataFolder());
        node.awaitStarted();
    }

    private Path voterFile() {
        return node.dataFolder().resolve("voters.new");
    }

    private ServerSocket hold(String listener) throws Exception {
        return new ServerSocket(node.port(listener), BACKLOG, InetAddress.getByName(node.ip()));
    }

    private void writeUnfinishedSettings(String state) throws Exception {
        String settings = node.settings();
        switch (state) {
            case "missing" -> Files.deleteIfExists(node.settingsFile());
            case "empty" -> node.writeSettings("");
            case "cut" -> node.writeSettings(settings.substring(0, 200));
            case "nested" -> node.writeSettings("role: " + "[".repeat(100_000));
            default ->
                    Files.write(
                            node.settingsFile(),
                            ("role: \u00fc" + settings).getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    /** Checks that the last line of the log states the exit code and the age of the process. */
    private static void assertExitLine(ManagedProcess process, int code) throws Exception {
        String[] lines = process.log().strip().split("\n");
        String last = lines[lines.length - 1];
        assertTrue(last.contains("\"event\":\"process-exit\""), process.log());
        assertTrue(last.contains("\"code\":" + code), last);
        assertTrue(last.contains("\"reason\":"), last);
        assertTrue(last.contains("\"ageMs\":"), last);
    }
}
