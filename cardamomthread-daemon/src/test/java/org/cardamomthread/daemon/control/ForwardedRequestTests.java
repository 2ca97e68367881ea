package org.cardamomthread.daemon.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.control.generated.GroupRequest;
import org.cardamomthread.daemon.control.generated.GroupResponse;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.NotLeaderException;
import org.cardamomthread.replication.OutcomeUnknownException;
import org.cardamomthread.replication.ReplicaUnavailableException;
import org.cardamomthread.transport.PeerOutcomeUnknownException;
import org.cardamomthread.transport.PeerUnreachableException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs forwardedRequest requests against voters with scripted outcomes. */
public class ForwardedRequestTests {

    private static final GroupId GROUP = GroupDefinition.CLAIMS;
    private static final List<NodeId> VOTERS =
            List.of(new NodeId("node-1"), new NodeId("node-2"), new NodeId("node-3"));
    private static final long ATTEMPT_MS = 10;

    private final ManualTimeSource timeSource = new ManualTimeSource();
    private final List<NodeId> contactedVoters = new ArrayList<>();

    private static GroupRequest command() {
        return GroupRequest.newBuilder()
                .setGroupId(GROUP.value())
                .setCommand(ByteString.copyFromUtf8("command"))
                .build();
    }

    private static GroupRequest query() {
        return GroupRequest.newBuilder()
                .setGroupId(GROUP.value())
                .setQuery(ByteString.copyFromUtf8("query"))
                .build();
    }

    private static CompletableFuture<byte[]> response(GroupResponse response) {
        return CompletableFuture.completedFuture(response.toByteArray());
    }

    private static CompletableFuture<byte[]> notLeader(String leader) {
        return response(GroupResponses.failure(new NotLeaderException(GROUP, new NodeId(leader))));
    }

    private static CompletableFuture<byte[]> unreachable() {
        return CompletableFuture.failedFuture(new PeerUnreachableException("down"));
    }

    private static CompletableFuture<byte[]> outcomeUnknown() {
        return CompletableFuture.failedFuture(new PeerOutcomeUnknownException("no response"));
    }

    /**
     * Runs a request whose attempts get these outcomes in order; the timeout allows for no more
     * attempts.
     */
    private byte[] run(GroupRequest request, List<CompletableFuture<byte[]>> outcomes)
            throws Exception {
        contactedVoters.clear();
        Iterator<CompletableFuture<byte[]>> remaining = outcomes.iterator();
        ForwardedRequest forwardedRequest =
                new ForwardedRequest(
                        GROUP,
                        request,
                        VOTERS,
                        new LeaderHint(),
                        (to, sentRequest, timeout) -> {
                            contactedVoters.add(to);
                            timeSource.advanceMs(ATTEMPT_MS);
                            return remaining.next();
                        },
                        timeSource,
                        Duration.ofMillis(ATTEMPT_MS * outcomes.size()));
        return forwardedRequest.run().get(10, TimeUnit.SECONDS);
    }

    @Test
    public void followsLeaderHint() throws Exception {
        byte[] result =
                run(
                        command(),
                        List.of(
                                notLeader("node-3"),
                                response(GroupResponses.success(new byte[] {7}))));
        assertEquals(result, new byte[] {7});
        assertEquals(contactedVoters, List.of(VOTERS.get(0), VOTERS.get(2)));
    }

    @Test
    public void triesNextVoterWhenOneIsUnreachable() throws Exception {
        run(
                command(),
                List.of(
                        unreachable(),
                        outcomeUnknown(),
                        response(GroupResponses.success(new byte[0]))));
        assertEquals(contactedVoters, VOTERS);
    }

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {
            {command(), List.of(unreachable(), notLeader("node-2")), false},
            {command(), List.of(unreachable(), outcomeUnknown()), true},
            {command(), List.of(outcomeUnknown(), notLeader("node-2"), unreachable()), true},
            {query(), List.of(outcomeUnknown(), unreachable()), false}
        };
    }

    @Test(dataProvider = "failures")
    public void reportsUnavailableOnlyIfNoAttemptCanHaveAppendedTheCommand(
            GroupRequest request,
            List<CompletableFuture<byte[]>> outcomes,
            boolean isOutcomeUnknown) {
        ExecutionException failure =
                expectThrows(ExecutionException.class, () -> run(request, outcomes));
        assertEquals(
                failure.getCause().getClass(),
                isOutcomeUnknown
                        ? OutcomeUnknownException.class
                        : ReplicaUnavailableException.class);
    }
}
