package org.cardamomthread.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.cardamomthread.command.client.OperatorClient;
import org.cardamomthread.command.outcome.CommandException;
import org.cardamomthread.command.outcome.ExitCode;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link CommandRunner} and all commands. */
public class CommandRunnerTests {

    private static final String CURRENT_CONFIGURATION =
            """
            {"revision": 7, "declarations": {"dataCentres": [{"id": "perth-a"}]}}
            """;
    private static final String MOVE =
            """
            {"versionMoves": [{"id": "m-1", "service": "chat", "from": "v1", "to": "v2",
              "state": "%s", "step": %d, "share": %s, "by": "2027-01-01T00:00:00Z",
              "reason": "%s"}]}
            """;

    private Path folder;
    private ScriptedTransport transport;
    private ByteArrayOutputStream out;
    private ByteArrayOutputStream err;

    @BeforeMethod
    public void prepare() throws IOException {
        folder = Files.createTempDirectory("declarations");
        Files.writeString(folder.resolve("all.yaml"), "dataCentres:\n  - id: perth-b\n");
        transport = new ScriptedTransport();
        out = new ByteArrayOutputStream();
        err = new ByteArrayOutputStream();
    }

    @Test
    public void validatesDeclarationFolder() throws IOException {
        assertEquals(run("validate", folder.toString()), ExitCode.OK);
        assertTrue(output().startsWith("valid, digest "), output());
        Files.writeString(folder.resolve("bad.yaml"), "profiles:\n  - id: 7\n");
        assertEquals(run("validate", folder.toString()), ExitCode.INVALID);
        assertTrue(errors().contains("bad.yaml:2:5: \"profiles/0/id\""), errors());
        assertTrue(errors().contains("the key is missing"), errors());
    }

    @Test
    public void validatesSettings() throws IOException {
        Path file = folder.resolve("node.yaml");
        Files.writeString(file, "nodeId: a\n");
        assertEquals(run("validate", "--settings", file.toString()), ExitCode.INVALID);
        assertTrue(errors().contains("node.yaml:1:1: \"listeners\""), errors());
    }

    @Test
    public void explainsRequestFromLogs() throws IOException {
        Path log = folder.resolve("edge-1.log");
        Files.writeString(
                log,
                """
                {"timestamp":1780000000123,"kvpList": [{"event":"quota-refused"},{"request":"r1"},\
                {"account":"bars"}],"formattedMessage":"quota-refused"}
                """);
        assertEquals(run("explain", "r1", "--logs", log.toString()), ExitCode.OK);
        assertEquals(
                output(),
                "request r1\n  2026-05-28T20:26:40.123Z edge-1.log quota-refused request=r1"
                        + " account=bars\n");
        assertEquals(run("explain", "r2", "--logs", log.toString()), ExitCode.REJECTED);
        assertTrue(errors().contains("no log line contains request \"r2\""), errors());
    }

    @Test
    public void reportsUnreadableLogFile() {
        String missing = folder.resolve("missing.log").toString();
        assertEquals(run("explain", "r1", "--logs", missing), ExitCode.USAGE);
        assertTrue(errors().contains("missing.log"), errors());
    }

    @Test
    public void plansAgainstCurrentConfiguration() {
        transport.respond(200, CURRENT_CONFIGURATION);
        assertEquals(run("plan", folder.toString()), ExitCode.OK);
        assertEquals(
                output(), "- dataCentres/perth-a\n+ dataCentres/perth-b\nagainst revision 7\n");
    }

    @Test
    public void appliesToCurrentRevision() {
        transport
                .respond(200, CURRENT_CONFIGURATION)
                .respond(200, "{\"revision\": 8, \"state\": \"accepted\"}");
        assertEquals(run("apply", folder.toString()), ExitCode.OK);
        assertEquals(transport.bodies().get(1).path("baseRevision").asLong(), 7);
        assertTrue(output().contains("in force from revision 8"), output());
    }

    @Test
    public void retriesWithSameOperationId() {
        transport
                .fail(true)
                .respond(503, "{\"execution\": \"unknown\", \"detail\": \"lost\"}")
                .respond(200, "{\"revision\": 8, \"state\": \"accepted\"}");
        assertEquals(run("apply", folder.toString(), "--base", "7"), ExitCode.OK);
        assertEquals(
                transport.requests(),
                List.of(
                        "1001 POST /v1/configuration/changes",
                        "1002 POST /v1/configuration/changes",
                        "1001 POST /v1/configuration/changes"));
        assertEquals(
                transport.bodies().stream().map(b -> b.path("operationId")).distinct().count(), 1);
    }

    @Test
    public void reportsUnknownOutcome() {
        for (int i = 0; i < 4; i++) {
            transport.fail(i == 2);
        }
        ExitCode code = run("datacenter", "drain", "perth-a", "--operation-id", "op-9");
        assertEquals(code, ExitCode.OUTCOME_UNKNOWN);
        assertTrue(errors().contains("run the command again with --operation-id op-9"), errors());
    }

    @Test
    public void reportsUnreachableNodes() {
        for (int i = 0; i < 4; i++) {
            transport.fail(false);
        }
        assertEquals(run("datacenter", "drain", "perth-a"), ExitCode.UNREACHABLE);
        assertTrue(errors().contains("with --server"), errors());
    }

    @Test
    public void printsDifferencesOnConflict() {
        transport.respond(
                409,
                """
                {"detail": "changed", "remedy": "read it", "currentRevision": 9,
                 "differences": ["~ profiles/urgent"]}
                """);
        assertEquals(run("apply", folder.toString(), "--base", "7"), ExitCode.CONFLICT);
        assertTrue(errors().contains("revision is 9\n~ profiles/urgent"), errors());
    }

    @DataProvider
    public Object[][] errorStatuses() {
        return new Object[][] {
            {401, ExitCode.UNAUTHORIZED}, {404, ExitCode.REJECTED}, {422, ExitCode.REJECTED},
        };
    }

    @Test(dataProvider = "errorStatuses")
    public void mapsErrorStatusesToExitCodes(int status, ExitCode code) {
        transport.respond(status, "{\"detail\": \"what\", \"remedy\": \"do\"}");
        assertEquals(run("get"), code);
        assertTrue(errors().contains("what; do"), errors());
    }

    @Test
    public void printsDeclarationsThatValidate() throws IOException {
        transport.respond(200, CURRENT_CONFIGURATION);
        assertEquals(run("get"), ExitCode.OK);
        Files.writeString(folder.resolve("all.yaml"), output());
        assertEquals(run("validate", folder.toString()), ExitCode.OK);
    }

    @Test
    public void startsVersionMove() {
        transport.respond(200, "{\"id\": \"m-1\", \"state\": \"accepted\"}");
        ExitCode code =
                run("version", "move", "--service", "chat", "--to", "v2", "--by", "2027-01-01");
        assertEquals(code, ExitCode.OK);
        assertEquals(transport.bodies().get(0).path("by").asText(), "2027-01-01");
        assertTrue(output().contains("started move m-1"), output());
    }

    @Test
    public void watchesMoveUntilRolledBack() {
        transport
                .respond(200, MOVE.formatted("running", 0, "0.01", ""))
                .respond(200, MOVE.formatted("running", 0, "0.01", ""))
                .respond(200, MOVE.formatted("running", 1, "0.25", ""))
                .respond(200, MOVE.formatted("taken-back", 1, "0.0", "failures on route chat"));
        assertEquals(run("status", "--watch"), ExitCode.ROLLED_BACK);
        List<String> lines = output().lines().toList();
        assertEquals(lines.size(), 3, output());
        assertTrue(lines.get(1).contains("share 25.0%"), output());
        assertTrue(lines.get(2).contains("taken-back, step 1"), output());
        assertTrue(lines.get(2).endsWith("failures on route chat"), output());
    }

    @Test
    public void reportsUnconfirmedDrain() {
        transport.respond(
                202,
                "{\"state\": \"out\", \"confirmed\": false, \"detail\": \"d\", \"remedy\": \"r\"}");
        assertEquals(run("datacenter", "drain", "perth-a"), ExitCode.UNCONFIRMED);
        assertTrue(output().contains("not confirmed: d; r"), output());
    }

    @Test
    public void printsHelpWithEveryExitCode() {
        assertEquals(run("--help"), ExitCode.OK);
        for (ExitCode code : ExitCode.values()) {
            assertTrue(output().contains(code.number() + "  " + code.meaning()), output());
        }
    }

    @DataProvider
    public Object[][] invalidCommandLines() {
        return new Object[][] {
            {new String[] {}, "no command is given"},
            {new String[] {"aply", "x"}, "unknown command [aply, x]"},
            {new String[] {"validate"}, "takes exactly one argument, the folder"},
            {new String[] {"get", "more"}, "unexpected argument \"more\""},
            {new String[] {"get", "--watch"}, "--watch is not an option of cardamomthread get"},
            {new String[] {"get", "-o", "xml"}, "must be json or text"},
            {new String[] {"get", "--nothing"}, "--nothing"},
            {new String[] {"version", "move", "--to", "v2"}, "--service is missing"},
            {new String[] {"datacenter", "drain", "a/b"}, "not a valid data centre id"},
            {new String[] {"explain", "a b"}, "not a valid request id"},
            {new String[] {"status", "--output"}, "Missing argument"},
        };
    }

    @Test(dataProvider = "invalidCommandLines")
    public void reportsInvalidCommandLine(String[] words, String detail) {
        assertEquals(run(words), ExitCode.USAGE);
        assertTrue(errors().contains(detail), errors());
        assertTrue(errors().contains("see cardamomthread --help"), errors());
        assertEquals(transport.requests(), List.of());
    }

    @DataProvider
    public Object[][] tokens() {
        return new Object[][] {{"a-token\n", true}, {"a\nb", false}, {"", false}, {"a b", false}};
    }

    @Test(dataProvider = "tokens")
    public void acceptsOnlySingleLineToken(String text, boolean valid) throws Exception {
        Path file = folder.resolve("token");
        Files.writeString(file, text);
        if (valid) {
            assertEquals(Cardamomthread.readToken(file.toString()), text.strip());
        } else {
            CommandException error =
                    expectThrows(
                            CommandException.class,
                            () -> Cardamomthread.readToken(file.toString()));
            assertTrue(error.getMessage().contains("a single line without spaces"));
        }
    }

    @Test
    public void mapsUncheckedExceptionToInternalExitCode() {
        assertEquals(run("get"), ExitCode.INTERNAL);
        assertTrue(errors().contains("internal error"), errors());
    }

    private ExitCode run(String... words) {
        out.reset();
        err.reset();
        List<String> line = new ArrayList<>(List.of(words));
        line.addAll(List.of("--server", "127.0.0.1:1001", "--server", "127.0.0.1:1002"));
        CommandRunner runner =
                new CommandRunner(
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8),
                        arguments ->
                                new OperatorClient(arguments.servers(), transport, pauseMs -> {}),
                        () -> {});
        return runner.run(line.toArray(new String[0]));
    }

    private String output() {
        return out.toString(StandardCharsets.UTF_8);
    }

    private String errors() {
        return err.toString(StandardCharsets.UTF_8);
    }
}
