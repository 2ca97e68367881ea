package org.cardamomthread.configuration.declaration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cardamomthread.configuration.document.Document;
import org.cardamomthread.configuration.document.DocumentProblem;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.cardamomthread.configuration.document.YamlReader;
import org.cardamomthread.core.id.ProfileId;
import org.cardamomthread.core.id.ServiceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link DeclarationsLoader}: defaults, canonical form, and the location and remedy of each
 * error.
 */
public class DeclarationsLoaderTests {

    static final String VALID_YAML =
            """
            dataCentres:
              - id: perth-a
            endpointClasses:
              - {id: gpu-small, coldConcurrency: 2, warmConcurrency: 8, ordersFenced: true}
            profiles:
              - id: urgent
                latency: {firstTokenMs: 800}
              - id: patient
                latency: {firstTokenMs: 60000}
                patience: {patient: true, maxDelayMs: 600000}
            services:
              - id: chat
                kind: model
                profile: urgent
                versions: [v1, v2]
                currentVersion: v1
              - id: drops
                kind: service
                profile: urgent
                versions: [v1]
                currentVersion: v1
                routes:
                  - {id: book, paths: [/drops], methods: [POST], repeatable: false}
                  - {id: rest, paths: [/**], repeatable: true}
            clientAccounts:
              - {id: venue, token: venue-token, maxConcurrent: 20}
            """;

    private final DeclarationsLoader loader = new DeclarationsLoader();

    @Test
    public void readsEveryKindAndFillsInDefaults() throws InvalidDocumentException {
        Declarations declarations = load(VALID_YAML);
        Service drops = declarations.findService(new ServiceId("drops")).orElseThrow();
        assertEquals(drops.kind(), ServiceKind.SERVICE);
        assertEquals(drops.rollout().steps(), List.of(0.01, 0.05, 0.25, 0.5, 1.0));
        assertFalse(drops.findRoute("POST", "/drops").orElseThrow().repeatable());
        assertTrue(drops.findRoute("GET", "/drops/7").orElseThrow().repeatable());
        Profile urgent = declarations.findProfile(new ProfileId("urgent")).orElseThrow();
        assertEquals(urgent.latency(), new LatencyTarget(800, 1000));
        assertEquals(urgent.priority(), 5);
        assertEquals(urgent.risk().maxReclaimProbability(), 1.0);
    }

    @Test
    public void keepsOnlyTheHashOfATokenAndFindsItsAccount() throws InvalidDocumentException {
        Declarations declarations = load(VALID_YAML);
        assertFalse(declarations.toCanonicalJson().contains("venue-token"));
        assertEquals(
                declarations.findAccountByToken("venue-token").orElseThrow().id().value(), "venue");
        assertTrue(declarations.findAccountByToken("other-token").isEmpty());
    }

    @Test
    public void equalSetsHaveEqualDigests() throws InvalidDocumentException {
        String reordered =
                VALID_YAML
                        .replace("versions: [v1, v2]", "versions: [v2, v1]")
                        .replace("firstTokenMs: 800", "tokenGapMs: 1000, firstTokenMs: 800")
                        .replace("token: venue-token", "tokenSha256: " + sha256Hex("venue-token"));
        assertEquals(load(reordered), load(VALID_YAML));
        assertEquals(load(reordered).digest(), load(VALID_YAML).digest());
        String other = VALID_YAML.replace("firstTokenMs: 800", "firstTokenMs: 801");
        assertNotEquals(load(other).digest(), load(VALID_YAML).digest());
    }

    @Test
    public void readsItsOwnCanonicalForm() throws InvalidDocumentException {
        Declarations declarations = load(VALID_YAML);
        assertEquals(loader.load("answer", declarations.toTree()), declarations);
        assertEquals(
                Declarations.fromCanonicalJson(declarations.canonicalJsonByKey()), declarations);
        assertEquals(declarations.toCanonicalJson(), declarations.toTree().toString());
    }

    @Test
    public void mergesTheFilesOfADirectory() throws IOException, InvalidDocumentException {
        Path directory = Files.createTempDirectory("declarations");
        int split = VALID_YAML.indexOf("services:");
        Files.writeString(directory.resolve("a.yaml"), VALID_YAML.substring(0, split));
        Files.writeString(directory.resolve("b.yml"), VALID_YAML.substring(split));
        Files.writeString(directory.resolve("notes.txt"), "not read");
        assertEquals(loader.load(directory), load(VALID_YAML));
    }

    @Test
    public void reportsBothLocationsOfADuplicateId() throws InvalidDocumentException {
        Document first = YamlReader.parse("a.yaml", VALID_YAML);
        Document second = YamlReader.parse("b.yaml", "dataCentres:\n  - id: perth-a\n");
        InvalidDocumentException error =
                expectThrows(
                        InvalidDocumentException.class, () -> loader.load(List.of(first, second)));
        String message = error.getMessage();
        assertTrue(message.startsWith("b.yaml:2:5: \"dataCentres/0/id\""), message);
        assertTrue(message.contains("already declared at a.yaml:2:5"), message);
    }

    @DataProvider
    public Object[][] invalidDeclarations() {
        return new Object[][] {
            {"id: chat", "id: [chat]", "12:5: \"services/0/id\"", "of type string"},
            {"kind: model", "kind: mdoel", "13:5: \"services/0/kind\"", "model for a model engine"},
            {"kind: model", "kinds: model", "13:5: \"services/0/kinds\"", "use one of id, kind"},
            {"versions: [v1, v2]", "versions: [1, 2]", "15:16:", "in quotes if YAML"},
            {
                "profile: urgent\n    versions: [v1, v2]",
                "profile: urgnt\n    versions: [v1, v2]",
                "14:5:",
                "use one of patient, urgent"
            },
            {
                "currentVersion: v1\n  - id: drops",
                "currentVersion: v9\n  - id: drops",
                "16:5:",
                "add it to versions"
            },
            {"id: rest", "id: book", "24:10:", "give each route an id"},
            {"/**", "/**/x", "24:28:", "** for the rest at the end"},
            {"/**", "drops", "24:28:", "begins with /"},
            {"[POST]", "[post]", "23:47:", "a method in capitals"},
            {"repeatable: false", "repeatable: maybe", "23:54:", "at most once"},
            {", repeatable: false", "", "\"services/1/routes/0/repeatable\"", "Idempotency-Key"},
            {"patient: true, ", "", "\"profiles/1/patience/maxDelayMs\"", "set patient: true"},
            {", maxDelayMs: 600000", "", "10:5: \"profiles/1/patience\"", "set maxDelayMs"},
            {"coldConcurrency: 2", "coldConcurrency: 9", "4:21:", "lower coldConcurrency"},
            {"coldConcurrency: 2", "coldConcurrency: 0", "4:21:", "bears at once"},
            {"token: venue-token", "tokenSha256: abc", "26:17:", "64 lower-case"},
            {"token: venue-token, ", "", "26:5: \"clientAccounts/0\"", "a client account"},
            {
                "latency: {firstTokenMs: 800}",
                "latency: {firstTokenMs: 800}\n    cost: {weight: 2}",
                "8:12:",
                "0 to 1"
            },
            {"kind: model", "kind: service", "\"services/0/routes\"", "at least one route"},
            {
                "kind: model",
                "kind: model\n    rollout: {steps: [0.5, 0.1, 1.0]}",
                "14:15:",
                "increasing shares"
            },
            {"services:", "service:", "11:1: \"service\"", "use one of dataCentres"},
        };
    }

    @Test(dataProvider = "invalidDeclarations")
    public void reportsLocationAndRemedy(
            String original, String replacement, String location, String remedy) {
        assertTrue(
                VALID_YAML.contains(original), "the valid declarations must contain " + original);
        String invalidYaml = VALID_YAML.replace(original, replacement);
        InvalidDocumentException error =
                expectThrows(InvalidDocumentException.class, () -> load(invalidYaml));
        assertTrue(
                error.problems().stream()
                        .map(DocumentProblem::toString)
                        .anyMatch(text -> text.contains(location) && text.contains(remedy)),
                error.getMessage());
    }

    @Test
    public void reportsErrorsOfAllFilesAtOnce() throws IOException {
        Path directory = Files.createTempDirectory("declarations");
        Files.writeString(directory.resolve("a.yaml"), "profiles: [\n");
        Files.writeString(directory.resolve("b.yaml"), "services: 7\nunknown: 1\n");
        InvalidDocumentException error =
                expectThrows(InvalidDocumentException.class, () -> loader.load(directory));
        assertEquals(error.problems().size(), 3, error.getMessage());
    }

    @Test
    public void listsEachDifference() throws InvalidDocumentException {
        String changed =
                VALID_YAML
                        .replace("firstTokenMs: 800", "firstTokenMs: 900")
                        .replace("id: perth-a", "id: perth-b");
        List<String> changes =
                DeclarationsDifference.between(load(VALID_YAML), load(changed)).stream()
                        .map(DeclarationChange::toString)
                        .toList();
        assertEquals(
                changes,
                List.of(
                        "- dataCentres/perth-a",
                        "+ dataCentres/perth-b",
                        "~ profiles/urgent\n    latency/firstTokenMs: 800 -> 900"));
        assertEquals(DeclarationsDifference.between(load(VALID_YAML), load(VALID_YAML)), List.of());
    }

    private Declarations load(String text) throws InvalidDocumentException {
        return loader.load(List.of(YamlReader.parse("all.yaml", text)));
    }

    private static String sha256Hex(String text) {
        return Sha256.hexDigest(text);
    }
}
