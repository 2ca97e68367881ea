package org.cardamomthread.daemon.operator;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.cardamomthread.configuration.settings.Secret;
import org.cardamomthread.configuration.state.DataCentreState;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the requests of operators against a fake control plane. */
public class OperatorApiTests {

    private static final String TOKEN = "Bearer second-token";
    private static final DataCentreId PERTH = new DataCentreId("perth-a");
    private static final String CHANGES = "/v1/configuration/changes";
    private static final String MOVE =
            """
            {"operationId": "move-1", "service": "chat", "to": "v2", "by": "%s"}
            """;

    private FakeControlPlane controlPlane;
    private OperatorApi api;

    @BeforeMethod
    public void applyInitialDeclarations() {
        controlPlane = new FakeControlPlane();
        api =
                new OperatorApi(
                        List.of(new Secret("first-token"), new Secret("second-token")),
                        controlPlane,
                        new ManualTimeSource(Instant.parse("2027-01-01T00:00:00Z")));
        assertEquals(post(CHANGES, change("first", 0, 100)).status(), 200);
    }

    @DataProvider
    public Object[][] badTokens() {
        return new Object[][] {
            {Optional.empty()},
            {Optional.of("Bearer second-tokeN")},
            {Optional.of("Bearer ")},
            {Optional.of("Basic second-token")},
            {Optional.of("second-token")},
        };
    }

    @Test(dataProvider = "badTokens")
    public void rejectsRequestsWithoutOperatorToken(Optional<String> authorization) {
        OperatorResponse response =
                api.handle(new OperatorRequest("POST", CHANGES, authorization, change("x", 1, 200)))
                        .join();
        assertEquals(response.status(), 401);
        assertEquals(response.headers().get("WWW-Authenticate"), "Bearer");
        assertEquals(controlPlane.committedView().revision(), 1);
    }

    @Test
    public void returnsDeclarationsThatCanBeReapplied() {
        JsonNode body = json(get("/v1/configuration"));
        assertEquals(body.path("revision").asLong(), 1);
        String repeatedChange =
                "{\"operationId\": \"again\", \"baseRevision\": 1, \"declarations\": "
                        + body.path("declarations")
                        + "}";
        JsonNode accepted = json(post(CHANGES, repeatedChange));
        assertEquals(accepted.path("state").asText(), "accepted");
        assertEquals(accepted.path("revision").asLong(), 1);
    }

    @Test
    public void acceptsOnlyOneOfTwoChangesToTheSameRevision() {
        OperatorResponse winner = post(CHANGES, change("one", 1, 200));
        OperatorResponse loser = post(CHANGES, change("two", 1, 300));
        assertEquals(winner.status(), 200);
        assertEquals(loser.status(), 409);
        assertEquals(loser.contentType(), "application/problem+json");
        JsonNode problem = json(loser);
        assertEquals(problem.path("currentRevision").asLong(), 2);
        assertEquals(
                problem.path("differences").path(0).asText(),
                "~ profiles/urgent\n    latency/firstTokenMs: 200 -> 300");
        assertTrue(problem.path("remedy").asText().contains("against its revision"));
    }

    @Test
    public void returnsOriginalResultOnRetryAfterLostResponse() {
        controlPlane.setResponsesLost(true);
        OperatorResponse lost = post(CHANGES, change("one", 1, 200));
        assertEquals(lost.status(), 503);
        assertEquals(json(lost).path("execution").asText(), "unknown");
        controlPlane.setResponsesLost(false);
        post(CHANGES, change("two", 2, 300));
        OperatorResponse resent = post(CHANGES, change("one", 1, 200));
        assertEquals(resent.status(), 200);
        assertEquals(json(resent).path("revision").asLong(), 2);
        assertEquals(controlPlane.committedView().revision(), 3);
    }

    @Test
    public void reportsNotRunWhenGroupIsUnreachable() {
        controlPlane.setGroupUnreachable(true);
        OperatorResponse response = post(CHANGES, change("one", 1, 200));
        assertEquals(response.status(), 503);
        assertEquals(json(response).path("execution").asText(), "not-run");
        assertEquals(controlPlane.committedView().revision(), 1);
    }

    @Test
    public void startsAndShowsVersionMoves() {
        OperatorResponse started = post("/v1/version-moves", MOVE.formatted(deadline(60)));
        assertEquals(started.status(), 200, started.body());
        assertEquals(json(started).path("id").asText(), "move-1");
        JsonNode move = json(get("/v1/version-moves/move-1"));
        assertEquals(move.path("state").asText(), "running");
        assertEquals(move.path("share").asDouble(), 0.1);
        assertEquals(move.path("by").asText(), "2027-01-01T00:01:00Z");
        assertEquals(json(get("/v1/version-moves")).path("versionMoves").size(), 1);
        assertEquals(get("/v1/version-moves/none").status(), 404);
    }

    @Test
    public void rejectsVersionMoveWithPastDeadline() {
        OperatorResponse response = post("/v1/version-moves", MOVE.formatted(deadline(-1)));
        assertEquals(response.status(), 422);
        assertTrue(json(response).path("detail").asText().contains("has passed"));
    }

    @Test
    public void drainsAndReturnsADataCentre() {
        JsonNode drained = json(post("/v1/data-centres/perth-a/drain", operation("d-1")));
        assertEquals(drained.path("state").asText(), "out");
        assertTrue(drained.path("confirmed").asBoolean());
        assertTrue(controlPlane.committedView().dataCentreState(PERTH).drained());
        assertEquals(post("/v1/data-centres/perth-a/return", operation("r-1")).status(), 200);
        assertFalse(controlPlane.committedView().dataCentreState(PERTH).drained());
        OperatorResponse resent = post("/v1/data-centres/perth-a/drain", operation("d-1"));
        assertEquals(resent.status(), 200);
        assertFalse(controlPlane.dataCentreState(PERTH).drained());
        assertEquals(post("/v1/data-centres/none/drain", operation("d-2")).status(), 404);
    }

    @Test
    public void rejectsReturnBasedOnStaleDataCentreState() {
        controlPlane.freezeView();
        assertEquals(post("/v1/data-centres/perth-a/drain", operation("d-1")).status(), 200);
        OperatorResponse conflictingReturn =
                post("/v1/data-centres/perth-a/return", operation("r-1"));
        assertEquals(conflictingReturn.status(), 409);
        assertTrue(controlPlane.committedView().dataCentreState(PERTH).drained());
    }

    @Test
    public void appliesDrainLocallyAsUnconfirmedWhenGroupIsUnreachable() {
        controlPlane.setGroupUnreachable(true);
        OperatorResponse response = post("/v1/data-centres/perth-a/drain", operation("d-1"));
        assertEquals(response.status(), 202);
        assertFalse(json(response).path("confirmed").asBoolean());
        assertEquals(controlPlane.dataCentreState(PERTH), new DataCentreState(true, 1));
        JsonNode dataCentre = json(get("/v1/status")).path("dataCentres").path(0);
        assertEquals(dataCentre.path("state").asText(), "out");
        assertFalse(dataCentre.path("confirmed").asBoolean());
        assertEquals(post("/v1/data-centres/perth-a/return", operation("r-1")).status(), 503);
    }

    @Test(timeOut = 20_000)
    public void appliesDrainLocallyWhenGroupDoesNotRespond() {
        OperatorApi apiWithShortTimeouts =
                new OperatorApi(
                        List.of(new Secret("second-token")),
                        controlPlane,
                        new ManualTimeSource(),
                        new ProposalTimeouts(1, 1));
        controlPlane.setGroupUnresponsive(true);
        OperatorResponse drained =
                apiWithShortTimeouts
                        .handle(
                                new OperatorRequest(
                                        "POST",
                                        "/v1/data-centres/perth-a/drain",
                                        Optional.of(TOKEN),
                                        operation("d-1")))
                        .join();
        assertEquals(drained.status(), 202, drained.body());
        assertTrue(controlPlane.dataCentreState(PERTH).drained());
        OperatorResponse change =
                apiWithShortTimeouts
                        .handle(
                                new OperatorRequest(
                                        "POST", CHANGES, Optional.of(TOKEN), change("x", 1, 200)))
                        .join();
        assertEquals(change.status(), 503);
        assertEquals(json(change).path("execution").asText(), "unknown");
    }

    @Test
    public void listsUnconfirmedNodes() {
        JsonNode status = json(get("/v1/status"));
        assertEquals(status.path("notConfirmed").path(0).asText(), "node-b");
        assertEquals(status.path("voters").path(0).path("role").asText(), "leader");
        assertEquals(status.path("revision").asLong(), 1);
    }

    @Test
    public void explainsARequest() {
        JsonNode explanation = json(get("/v1/explanations/request-1"));
        assertEquals(explanation.path("decisions").path(0).path("endpoint").asText(), "runner-1");
        assertEquals(get("/v1/explanations/request-2").status(), 404);
    }

    @DataProvider
    public Object[][] badRequests() {
        return new Object[][] {
            {"POST", CHANGES, "{", 400, "send a JSON object"},
            {"POST", CHANGES, "", 400, "send an object"},
            {"POST", CHANGES, "[]", 400, "send an object"},
            {"POST", CHANGES, "{\"operationID\": \"x\"}", 400, "remove it or use one of"},
            {"POST", CHANGES, "{\"operationId\": \"a b\"}", 400, "an id of this form"},
            {"POST", CHANGES, "{\"operationId\": \"a\"}", 400, "GET /v1/configuration"},
            {"POST", CHANGES, "{\"operationId\": \"a\", \"operationId\": \"b\"}", 400, "send"},
            {"POST", CHANGES, "{\"operationId\": \"a\", \"baseRevision\": -1}", 400, "GET /v1"},
            {"POST", CHANGES, "{\"operationId\": \"a\", \"baseRevision\": 1}", 400, "object"},
            {"POST", CHANGES, change("x", 1, 0), 422, "correct each of the errors"},
            {"POST", CHANGES, change("x", 9, 200), 422, "read the configuration"},
            {"POST", "/v1/version-moves", MOVE.formatted("soon"), 400, "RFC 3339"},
            {"POST", "/v1/version-moves", "{}", 400, "send an id as a string"},
            {"GET", CHANGES, "", 405, "use POST"},
            {"DELETE", "/v1/configuration", "", 405, "use GET"},
            {"GET", "/v1/data-centres/perth-a/drain", "", 405, "use POST"},
            {"POST", "/v1/data-centres/a%20b/drain", "{}", 400, "of this form"},
            {"GET", "/v1/data-centres/perth-a/close", "", 404, "docs/PROTOCOLS.md"},
            {"GET", "/v2/configuration", "", 404, "docs/PROTOCOLS.md"},
            {"GET", "/", "", 404, "docs/PROTOCOLS.md"},
            {"GET", "/v1/a/b/c/d", "", 404, "docs/PROTOCOLS.md"},
        };
    }

    @Test(dataProvider = "badRequests")
    public void returnsRemedyForInvalidRequest(
            String method, String path, String body, int status, String remedy) {
        OperatorResponse response = send(method, path, body);
        assertEquals(response.status(), status, response.body());
        JsonNode problem = json(response);
        assertTrue(problem.path("remedy").asText().contains(remedy), response.body());
        assertEquals(problem.path("status").asInt(), status);
        assertEquals(controlPlane.committedView().revision(), 1);
    }

    private OperatorResponse get(String path) {
        return send("GET", path, "");
    }

    private OperatorResponse post(String path, String body) {
        return send("POST", path, body);
    }

    private OperatorResponse send(String method, String path, String body) {
        return api.handle(new OperatorRequest(method, path, Optional.of(TOKEN), body)).join();
    }

    private static String operation(String id) {
        return "{\"operationId\": \"" + id + "\"}";
    }

    private static String deadline(long secondsAhead) {
        return Instant.parse("2027-01-01T00:00:00Z").plusSeconds(secondsAhead).toString();
    }

    private static String change(String operationId, long baseRevision, int firstTokenMs) {
        return """
               {"operationId": "%s", "baseRevision": %d, "declarations": {
                 "dataCentres": [{"id": "perth-a"}],
                 "profiles": [{"id": "urgent", "latency": {"firstTokenMs": %d}}],
                 "services": [{"id": "chat", "kind": "model", "profile": "urgent",
                   "versions": ["v1", "v2"], "currentVersion": "v1",
                   "rollout": {"steps": [0.1, 1.0]}}]}}
               """
                .formatted(operationId, baseRevision, firstTokenMs);
    }

    private static JsonNode json(OperatorResponse response) {
        try {
            return new ObjectMapper().readTree(response.body());
        } catch (JsonProcessingException e) {
            throw new AssertionError("the body must be JSON: " + response.body(), e);
        }
    }
}
