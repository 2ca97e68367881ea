package org.cardamomthread.configuration.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.configuration.document.YamlReader;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link NodeSettingsLoader}: defaults, secrets, and the location and remedy of each error.
 */
public class NodeSettingsLoaderTests {

    private static final Path SETTINGS_DIRECTORY = Path.of("/settings");

    private final NodeSettingsLoader loader = new NodeSettingsLoader();
    private String validYaml;

    @BeforeClass
    public void readValidYaml() throws IOException {
        try (InputStream stream = getClass().getResourceAsStream("/settings/node.yaml")) {
            validYaml = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @Test
    public void readsEveryKeyAndFillsInDefaults() throws InvalidDocumentException {
        NodeSettings settings = load(validYaml);
        assertEquals(settings.nodeId().value(), "perth-a-1");
        assertEquals(settings.listeners().peers(), new NetworkAddress("127.0.0.1", 8083));
        assertEquals(
                settings.dataFolder(), Optional.of(SETTINGS_DIRECTORY.resolve("data/perth-a-1")));
        assertTrue(settings.isVoter());
        assertFalse(settings.peers().get(1).voter());
        assertEquals(settings.leaseMs(), 2000);
        assertEquals(settings.heartbeatMs(), 500);
        assertEquals(settings.limits(), new RequestLimits(16384, 8388608, 30000, 60000, 10000));
        assertEquals(settings.platform(), Optional.empty());
        assertEquals(settings.telemetry().logFormat(), LogFormat.TEXT);
    }

    @Test
    public void readsOptionalSections() throws InvalidDocumentException {
        NodeSettings settings =
                load(
                        validYaml
                                + "platform: {address: \"127.0.0.1:9000\"}\n"
                                + "telemetry: {logFormat: json, otlpAddress: \"[::1]:4318\"}\n"
                                + "limits: {maxBodyBytes: 2048}\n");
        assertEquals(settings.platform().orElseThrow().pollMs(), 1000);
        assertEquals(settings.telemetry().logFormat(), LogFormat.JSON);
        assertEquals(settings.telemetry().otlpAddress().orElseThrow().toString(), "[::1]:4318");
        assertEquals(settings.limits().maxBodyBytes(), 2048);
        assertEquals(settings.limits().maxHeaderBytes(), 16384);
    }

    @Test
    public void toStringHidesSecrets() throws InvalidDocumentException {
        NodeSettings settings = load(validYaml);
        assertFalse(settings.toString().contains("endpoint-token"));
        assertTrue(settings.secrets().endpointToken().matches("endpoint-token"));
        assertFalse(settings.secrets().endpointToken().matches("endpoint-tokem"));
        assertNotEquals(settings.secrets().peerKey(), settings.secrets().endpointToken());
    }

    @Test
    public void readsSecretsFromFiles() throws IOException, InvalidDocumentException {
        Path directory = Files.createTempDirectory("settings");
        Files.writeString(directory.resolve("peer.key"), "key-that-is-read-from-a-file\n");
        Path file = directory.resolve("node.yaml");
        Files.writeString(file, validYaml.replace("value: peer-key-for-tests", "file: peer.key"));
        assertTrue(loader.load(file).secrets().peerKey().matches("key-that-is-read-from-a-file"));
        Files.writeString(directory.resolve("peer.key"), "short");
        InvalidDocumentException error =
                expectThrows(InvalidDocumentException.class, () -> loader.load(file));
        assertTrue(error.getMessage().contains("at least 8 characters"), error.getMessage());
    }

    @DataProvider
    public Object[][] invalidSettings() {
        return new Object[][] {
            {"nodeId: perth-a-1", "nodeId: 7", "1:1: \"nodeId\"", "of type string"},
            {"nodeId: perth-a-1", "nodeid: perth-a-1", "1:1: \"nodeid\"", "remove it or use one"},
            {"nodeId: perth-a-1\n", "", "1:1: \"nodeId\": the key is missing", "unique among"},
            {"nodeId: perth-a-1", "nodeId: perth-c-1", "\"nodeId\"", "add an entry with this id"},
            {"dataCentre: perth-a\n", "dataCentre: x\n", "10:", "write the same data centre"},
            {
                "callers: 127.0.0.1:8080",
                "callers: localhost:8080",
                "4:3: \"listeners/callers\"",
                "names are not resolved"
            },
            {"callers: 127.0.0.1:8080", "callers: 127.0.0.1:99999", "4:3:", "1 to 65535"},
            {"callers: 127.0.0.1:8080", "callers: 127.0.0.256:80", "4:3:", "an IP address"},
            {"callers: 127.0.0.1:8080", "callers: 127.0.0.1:8081", "5:3:", "a port of its own"},
            {
                "callers: 127.0.0.1:8080",
                "callers: [a",
                "5:12: while parsing a flow",
                "correct the YAML"
            },
            {"dataFolder: data/perth-a-1\n", "", "\"peers/0/voter\"", "set dataFolder"},
            {"id: perth-b-1", "id: perth-a-1", "11:", "an id of its own"},
            {"8183", "8083", "11:", "address of the peers listener"},
            {"work: [perth-a-1]", "work: [perth-b-1]", "14:", "set voter: true"},
            {"work: [perth-a-1]", "work: [x-1]", "14:", "add it to peers"},
            {"work: [perth-a-1]", "work: [perth-a-1, perth-a-1]", "14:", "an odd number"},
            {"{value: endpoint-token}", "{file: none.txt}", "17:", "create it with the secret"},
            {"peer-key-for-tests", "short-peer-key", "16:", "16 bytes or more"},
            {"{value: endpoint-token}", "{}", "17:", "{file: path} or {value: text}"},
            {"{value: endpoint-token}", "x", "17:3: \"secrets/endpointToken\"", "type object"},
            {
                "dataCentre: perth-a\n",
                "dataCentre: perth-a\nleaseMs: fast\n",
                "3:1: \"leaseMs\"",
                "in milliseconds"
            },
            {
                "dataCentre: perth-a\n",
                "dataCentre: perth-a\nleaseMs: 600\n",
                "\"heartbeatMs\"",
                "lower heartbeatMs"
            },
            {
                "dataCentre: perth-a\n",
                "dataCentre: perth-a\ndrainDelayMs: 40000\n",
                "3:1: \"drainDelayMs\"",
                "raise shutdownTimeoutMs"
            },
            {"dataCentre: perth-a\n", "dataCentre: a\ndataCentre: b\n", "3:", "Duplicate"},
        };
    }

    @Test(dataProvider = "invalidSettings")
    public void reportsLocationAndRemedy(
            String original, String replacement, String location, String remedy) {
        assertTrue(validYaml.contains(original), "the valid settings must contain " + original);
        String invalidYaml = validYaml.replace(original, replacement);
        InvalidDocumentException error =
                expectThrows(InvalidDocumentException.class, () -> load(invalidYaml));
        assertTrue(
                error.problems().stream()
                        .map(problem -> problem.toString())
                        .anyMatch(text -> text.contains(location) && text.contains(remedy)),
                error.getMessage());
    }

    @Test
    public void reportsSeveralErrorsAtOnce() {
        String invalidYaml =
                validYaml
                        .replace("nodeId: perth-a-1", "nodeId: 7")
                        .replace("127.0.0.1:8080", "localhost:1")
                        .replace("voter: true", "voter: yes-please");
        InvalidDocumentException error =
                expectThrows(InvalidDocumentException.class, () -> load(invalidYaml));
        assertEquals(error.problems().size(), 3, error.getMessage());
        assertEquals(error.problems().get(0).location().line(), 1);
        assertEquals(error.problems().get(2).location().line(), 10);
    }

    private NodeSettings load(String text) throws InvalidDocumentException {
        return loader.load(YamlReader.parse("node.yaml", text), SETTINGS_DIRECTORY);
    }
}
