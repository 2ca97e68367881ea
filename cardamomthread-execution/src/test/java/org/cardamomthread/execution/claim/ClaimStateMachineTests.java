package org.cardamomthread.execution.claim;

import static org.testng.Assert.assertEquals;

import com.google.protobuf.ByteString;
import java.util.List;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.execution.claim.ClaimOutcome.Kind;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the outcome of each {@link ClaimStateMachine} command after a sequence of earlier commands.
 */
public class ClaimStateMachineTests {

    private static final long MINUTE_MS = 60_000;
    private static final long DAY_MS = 24 * 60 * MINUTE_MS;
    private static final long START_MS = 1_000 * DAY_MS;
    private static final ClaimKey KEY =
            new ClaimKey(new ClientAccountId("bar-1"), new ServiceId("drops"), "k");
    private static final StoredResponse RESPONSE =
            StoredResponse.of(201, List.of(new ResponseHeader("X-Drop", "7")), new byte[] {1, 2});

    private ClaimStateMachine claims;
    private long index;

    @BeforeMethod
    public void createMachine() {
        claims = new ClaimStateMachine(ClaimSettings.defaults());
        apply(new ClaimCommand.Expire(START_MS));
    }

    @DataProvider
    public Object[][] commandSequences() {
        ClaimCommand release = new ClaimCommand.Release(KEY, "one", START_MS);
        ClaimCommand complete = new ClaimCommand.Complete(KEY, "one", RESPONSE, START_MS);
        ClaimCommand unknown = new ClaimCommand.MarkUnknown(KEY, "one", START_MS);
        ClaimCommand claim = claim("one", "body");
        return new Object[][] {
            {List.of(), claim, Kind.GRANTED},
            {List.of(claim), claim, Kind.GRANTED},
            {List.of(claim), claim("two", "body"), Kind.IN_PROGRESS},
            {List.of(claim), claim("two", "other"), Kind.CONFLICT},
            {List.of(claim, release), claim("two", "other"), Kind.GRANTED},
            {List.of(claim, release), claim, Kind.RELEASED},
            {List.of(release), claim, Kind.RELEASED},
            {List.of(claim, unknown), claim("two", "body"), Kind.UNKNOWN},
            {List.of(claim, unknown), release, Kind.IGNORED},
            {List.of(claim, unknown, complete), claim("two", "body"), Kind.ALREADY_COMPLETED},
            {List.of(claim, complete), claim, Kind.ALREADY_COMPLETED},
            {List.of(claim, complete), release, Kind.IGNORED},
            {List.of(claim, complete), unknown, Kind.IGNORED},
            {List.of(claim, complete), complete, Kind.APPLIED},
            {List.of(claim("two", "body")), complete, Kind.IGNORED},
        };
    }

    @Test(dataProvider = "commandSequences")
    public void outcomeFollowsFromEarlierCommands(
            List<ClaimCommand> earlier, ClaimCommand next, Kind kind) {
        earlier.forEach(this::apply);
        assertEquals(apply(next).kind(), kind);
    }

    @Test(dataProvider = "commandSequences")
    public void outcomeIsTheSameAfterRestoringASnapshot(
            List<ClaimCommand> earlier, ClaimCommand next, Kind kind) {
        earlier.forEach(this::apply);
        ClaimStateMachine restored = new ClaimStateMachine(ClaimSettings.defaults());
        restored.restore(claims.snapshot());
        claims = restored;
        assertEquals(apply(next).kind(), kind);
    }

    @DataProvider
    public Object[][] claimAges() {
        ClaimCommand complete = new ClaimCommand.Complete(KEY, "one", RESPONSE, START_MS);
        return new Object[][] {
            {List.of(), 10 * MINUTE_MS, Kind.IN_PROGRESS, 1},
            {List.of(), 16 * MINUTE_MS, Kind.UNKNOWN, 1},
            {List.of(complete), DAY_MS - MINUTE_MS, Kind.ALREADY_COMPLETED, 1},
            {List.of(complete), DAY_MS + MINUTE_MS, Kind.EXPIRED, 1},
            {List.of(), DAY_MS + MINUTE_MS, Kind.EXPIRED, 1},
            {List.of(complete), 31 * DAY_MS, Kind.GRANTED, 1},
        };
    }

    @Test(dataProvider = "claimAges")
    public void outcomeDependsOnTheAgeOfTheClaim(
            List<ClaimCommand> later, long ageMs, Kind kind, int size) {
        apply(claim("one", "body"));
        later.forEach(this::apply);
        for (long elapsedMs = 0; elapsedMs <= ageMs; elapsedMs += MINUTE_MS) {
            apply(new ClaimCommand.Expire(START_MS + elapsedMs));
        }
        assertEquals(apply(claim("two", "body")).kind(), kind);
        assertEquals(claims.size(), size);
    }

    @Test
    public void singleWrongClockDoesNotRemoveUsedKeys() {
        apply(claim("one", "body"));
        apply(new ClaimCommand.Expire(START_MS + 400 * DAY_MS));
        assertEquals(apply(claim("two", "body")).kind(), Kind.UNKNOWN);
    }

    @Test
    public void completedClaimReturnsTheStoredResponse() {
        apply(claim("one", "body"));
        apply(new ClaimCommand.Complete(KEY, "one", RESPONSE, START_MS));
        assertEquals(apply(claim("two", "body")).answer().orElseThrow(), RESPONSE);
    }

    @Test
    public void openClaimsOfAGatewayBecomeUnknown() {
        apply(claim("one", "body"));
        claims.markUnknownCommandsFor(new NodeId("gateway-1"), START_MS).forEach(this::apply);
        assertEquals(apply(claim("two", "body")).kind(), Kind.UNKNOWN);
    }

    private static ClaimCommand claim(String attemptId, String body) {
        return new ClaimCommand.Claim(
                KEY, ByteString.copyFromUtf8(body), new NodeId("gateway-1"), attemptId, START_MS);
    }

    private ClaimOutcome apply(ClaimCommand command) {
        return ClaimOutcome.parse(claims.apply(++index, command.toBytes()));
    }
}
