package org.cardamomthread.replication.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.MembershipChangeException;
import org.cardamomthread.replication.ReplicaMember;
import org.cardamomthread.replication.ReplicaRole;
import org.cardamomthread.replication.ReplicaUnavailableException;
import org.cardamomthread.replication.ReplicationSettings;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.VoterReplacement;
import org.cardamomthread.replication.generated.AppendRequest;
import org.cardamomthread.replication.generated.AppendResponse;
import org.cardamomthread.replication.generated.Entry;
import org.cardamomthread.replication.generated.EntryKind;
import org.cardamomthread.replication.generated.Envelope;
import org.cardamomthread.replication.generated.SnapshotHeader;
import org.cardamomthread.replication.generated.TermState;
import org.cardamomthread.replication.generated.VoteRequest;
import org.cardamomthread.replication.generated.VoteResponse;
import org.cardamomthread.replication.storage.RecoveredState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the reaction of one replica, voter 1 of 3, to single messages. Its log ends in term 2. */
public class ReplicaTests {

    private static final GroupId GROUP = new GroupId("claims");
    private static final long ELECTION_TIMEOUT_MS = 1000;
    private static final long START_MS = 5000;

    /** The maximum size of a frame of the transport. */
    private static final long MAX_MESSAGE_BYTES = 4L * 1024 * 1024;

    private Replica replica;

    @BeforeMethod
    public void createReplica() {
        createReplica(Optional.empty());
    }

    private void createReplica(Optional<VoterReplacement> replacement) {
        List<ReplicaMember> members = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            members.add(new ReplicaMember(voter(i), node(i), true));
        }
        List<Entry> entries = new ArrayList<>();
        ByteString membership = new GroupMembership(members).toMessage().toByteString();
        entries.add(entry(1, 1, EntryKind.MEMBERSHIP, membership));
        for (int index = 2; index <= 4; index++) {
            entries.add(entry(index, 2, EntryKind.COMMAND, ByteString.copyFromUtf8("command")));
        }
        RecoveredState recovered =
                new RecoveredState(
                        voter(1),
                        TermState.newBuilder().setTerm(2).build(),
                        SnapshotHeader.getDefaultInstance(),
                        entries);
        replica =
                new Replica(
                        new ReplicaIdentity(GROUP, node(1), voter(1)),
                        ReplicationSettings.withDefaults(List.of(node(1), node(2), node(3)))
                                .withVoterReplacement(replacement),
                        recovered,
                        new Random(1),
                        START_MS);
    }

    private static Entry entry(long index, long term, EntryKind kind, ByteString data) {
        return Entry.newBuilder().setIndex(index).setTerm(term).setKind(kind).setData(data).build();
    }

    private static VoterId voter(int number) {
        return new VoterId("folder-" + number);
    }

    private static NodeId node(int number) {
        return new NodeId("node-" + number);
    }

    private static Envelope.Builder envelopeFrom(int number, long term) {
        return Envelope.newBuilder()
                .setGroupId(GROUP.value())
                .setFromVoter(voter(number).value())
                .setFromNode(node(number).value())
                .setToVoter(voter(1).value())
                .setTerm(term);
    }

    private static Envelope voteRequest(int candidate, long term, boolean preliminary) {
        VoteRequest request =
                VoteRequest.newBuilder()
                        .setLastIndex(9)
                        .setLastTerm(term - 1)
                        .setPreliminary(preliminary)
                        .build();
        return envelopeFrom(candidate, term).setVoteRequest(request).build();
    }

    private static Envelope heartbeat(int leader, long term) {
        AppendRequest request =
                AppendRequest.newBuilder().setPreviousIndex(4).setPreviousTerm(2).build();
        return envelopeFrom(leader, term).setAppendRequest(request).build();
    }

    private static Envelope acceptedAppend(
            int follower, long term, long matchIndex, long sentAtMs) {
        AppendResponse response =
                AppendResponse.newBuilder()
                        .setAccepted(true)
                        .setMatchIndex(matchIndex)
                        .setSentAtMs(sentAtMs)
                        .build();
        return envelopeFrom(follower, term).setAppendResponse(response).build();
    }

    private long becomeLeader() {
        long nowMs = START_MS + 2 * ELECTION_TIMEOUT_MS;
        replica.tick(nowMs);
        for (boolean preliminary : new boolean[] {true, false}) {
            VoteResponse vote =
                    VoteResponse.newBuilder().setGranted(true).setPreliminary(preliminary).build();
            replica.receive(envelopeFrom(2, 3).setVoteResponse(vote).build(), nowMs);
        }
        persistOutput();
        assertEquals(replica.status(0, nowMs).role(), ReplicaRole.LEADER);
        return nowMs;
    }

    private ReplicaOutput persistOutput() {
        ReplicaOutput output = replica.takeOutput();
        replica.markPersisted();
        return output;
    }

    @Test
    public void doesNotCommitEntriesOfOlderTermsByCounting() {
        long nowMs = becomeLeader();
        replica.receive(acceptedAppend(2, 3, 4, nowMs), nowMs);
        assertEquals(replica.status(0, nowMs).commitIndex(), 0);
        replica.receive(acceptedAppend(2, 3, 5, nowMs), nowMs);
        assertEquals(replica.status(0, nowMs).commitIndex(), 5);
    }

    @Test
    public void holdsNoLeaseBeforeAnEntryOfItsTermIsCommitted() {
        long nowMs = becomeLeader();
        replica.receive(acceptedAppend(2, 3, 4, nowMs), nowMs);
        assertFalse(replica.status(0, nowMs).isLeaseHeld());
        replica.receive(acceptedAppend(2, 3, 5, nowMs), nowMs);
        assertTrue(replica.status(0, nowMs).isLeaseHeld());
    }

    @Test
    public void countsOnlyResponsesOfMemberFolders() {
        long nowMs = becomeLeader();
        Envelope lostFolder =
                acceptedAppend(2, 3, 5, nowMs).toBuilder().setFromVoter("other-folder").build();
        replica.receive(lostFolder, nowMs);
        assertEquals(replica.status(0, nowMs).commitIndex(), 0);
        Envelope toLostFolder =
                acceptedAppend(2, 3, 5, nowMs).toBuilder().setToVoter("other-folder").build();
        replica.receive(toLostFolder, nowMs);
        assertEquals(replica.status(0, nowMs).commitIndex(), 0);
    }

    @Test
    public void sendsAVoteOnlyAfterItIsSynced() {
        replica.receive(voteRequest(2, 3, false), START_MS + ELECTION_TIMEOUT_MS);
        ReplicaOutput output = replica.takeOutput();
        assertEquals(output.termState().orElseThrow().getVotedFor(), voter(2).value());
        assertTrue(output.requiresSync());
        assertTrue(output.immediateMessages().isEmpty());
        assertTrue(grantsVote(output));
    }

    @Test
    public void votesForOneCandidatePerTerm() {
        long nowMs = START_MS + ELECTION_TIMEOUT_MS;
        replica.receive(voteRequest(2, 3, false), nowMs);
        assertTrue(grantsVote(persistOutput()));
        replica.receive(voteRequest(3, 3, false), nowMs);
        assertFalse(grantsVote(persistOutput()));
        replica.receive(voteRequest(2, 3, false), nowMs);
        assertTrue(grantsVote(persistOutput()));
    }

    private static boolean grantsVote(ReplicaOutput output) {
        return output.messagesAfterSync().stream()
                .anyMatch(message -> message.message().getVoteResponse().getGranted());
    }

    @DataProvider
    public Object[][] voteKinds() {
        return new Object[][] {{true}, {false}};
    }

    @Test(dataProvider = "voteKinds")
    public void grantsNoVoteWithinElectionTimeoutAfterRestart(boolean preliminary) {
        Envelope request = voteRequest(2, 3, preliminary);
        replica.receive(request, START_MS + ELECTION_TIMEOUT_MS - 1);
        assertTrue(replica.takeOutput().isEmpty());
        assertEquals(replica.status(0, START_MS).term(), 2);
        replica.receive(request, START_MS + ELECTION_TIMEOUT_MS);
        assertTrue(grantsVote(replica.takeOutput()));
    }

    @Test(dataProvider = "voteKinds")
    public void grantsNoVoteWithinElectionTimeoutAfterHeartbeat(boolean preliminary) {
        long nowMs = START_MS + ELECTION_TIMEOUT_MS;
        replica.receive(heartbeat(3, 2), nowMs);
        persistOutput();
        Envelope request = voteRequest(2, 3, preliminary);
        replica.receive(request, nowMs + ELECTION_TIMEOUT_MS - 1);
        assertTrue(replica.takeOutput().isEmpty());
        replica.receive(request, nowMs + ELECTION_TIMEOUT_MS);
        assertTrue(grantsVote(replica.takeOutput()));
    }

    @Test
    public void changesOneMemberAtATime() throws Exception {
        long nowMs = becomeLeader();
        expectThrows(
                MembershipChangeException.class,
                () -> replica.addLearner(voter(4), node(4), nowMs));
        replica.receive(acceptedAppend(2, 3, 5, nowMs), nowMs);
        replica.addLearner(voter(4), node(4), nowMs);
        persistOutput();
        expectThrows(
                MembershipChangeException.class,
                () -> replica.addLearner(voter(5), node(5), nowMs));
        replica.receive(acceptedAppend(2, 3, 6, nowMs), nowMs);
        replica.addLearner(voter(5), node(5), nowMs);
    }

    @Test
    public void promotesOnlyACaughtUpLearner() throws Exception {
        long nowMs = becomeLeader();
        replica.receive(acceptedAppend(2, 3, 5, nowMs), nowMs);
        replica.addLearner(voter(4), node(4), nowMs);
        persistOutput();
        replica.receive(acceptedAppend(2, 3, 6, nowMs), nowMs);
        MembershipChangeException failure =
                expectThrows(
                        MembershipChangeException.class, () -> replica.promote(voter(4), nowMs));
        assertTrue(failure.getMessage().contains("has not caught up with the log"));
        replica.receive(acceptedAppend(4, 3, 6, nowMs), nowMs);
        replica.promote(voter(4), nowMs);
    }

    /** Guards against an operator who leaves two voters, of which both are needed. */
    @Test
    public void refusesTheRemovalOfAVoterThatIsNeeded() throws Exception {
        createReplica(Optional.of(new VoterReplacement(3, 2 * ELECTION_TIMEOUT_MS)));
        long nowMs = becomeLeader();
        replica.receive(acceptedAppend(2, 3, 5, nowMs), nowMs);
        MembershipChangeException failure =
                expectThrows(
                        MembershipChangeException.class, () -> replica.remove(voter(3), nowMs));
        assertTrue(failure.getMessage().contains("stop its node instead"));
    }

    @Test
    public void leaderStepsDownOnFirstInputAfterTheElectionTimeout() {
        long nowMs = becomeLeader();
        long afterTimeoutMs = nowMs + ELECTION_TIMEOUT_MS;
        replica.receive(acceptedAppend(2, 3, 5, nowMs), afterTimeoutMs);
        assertEquals(replica.status(0, afterTimeoutMs).commitIndex(), 0);
        assertEquals(replica.status(0, afterTimeoutMs).role(), ReplicaRole.FOLLOWER);
        assertTrue(replica.takeOutput().immediateMessages().isEmpty());
    }

    @DataProvider
    public Object[][] commandSizes() {
        return new Object[][] {{100}, {100_000}, {2_000_000}};
    }

    /** Guards against a slow member for which the whole log is copied into messages. */
    @Test(dataProvider = "commandSizes")
    public void limitsTheBytesSentToAMemberThatDoesNotRespond(int commandBytes) throws Exception {
        long nowMs = becomeLeader();
        replica.receive(acceptedAppend(2, 3, 5, nowMs), nowMs);
        replica.receive(acceptedAppend(3, 3, 5, nowMs), nowMs);
        long sentBytes = 0;
        for (int index = 6; index < 56; index++) {
            replica.propose(new byte[commandBytes], nowMs);
            sentBytes += bytesTo(3, persistOutput());
            replica.receive(acceptedAppend(2, 3, index, nowMs), nowMs);
            sentBytes += bytesTo(3, persistOutput());
        }
        assertEquals(replica.status(0, nowMs).commitIndex(), 55);
        assertTrue(sentBytes <= 2 * MAX_MESSAGE_BYTES, sentBytes + " bytes sent");
    }

    private static long bytesTo(int number, ReplicaOutput output) {
        return output.immediateMessages().stream()
                .filter(message -> message.to().equals(node(number)))
                .mapToLong(message -> message.message().getSerializedSize())
                .sum();
    }

    /** Guards against commands that fill the memory of a leader without a majority. */
    @Test(dataProvider = "commandSizes")
    public void rejectsCommandsWhileTooManyBytesAreUncommitted(int commandBytes) {
        long nowMs = becomeLeader();
        replica.receive(acceptedAppend(2, 3, 5, nowMs), nowMs);
        int count = (int) (3 * MAX_MESSAGE_BYTES / commandBytes);
        ReplicaUnavailableException failure =
                expectThrows(
                        ReplicaUnavailableException.class,
                        () -> {
                            for (int i = 0; i < count; i++) {
                                replica.propose(new byte[commandBytes], nowMs);
                            }
                        });
        assertTrue(failure.isGuaranteedNotAppended());
        assertTrue(failure.getMessage().contains("retry later"));
    }

    /**
     * The other voters may need it in the previous membership, and its log is the most complete.
     */
    @Test
    public void requestsVotesWhileItsOwnRemovalIsUncommitted() throws Exception {
        long nowMs = becomeLeader();
        replica.receive(acceptedAppend(2, 3, 5, nowMs), nowMs);
        replica.remove(voter(1), nowMs);
        persistOutput();
        replica.tick(nowMs + ELECTION_TIMEOUT_MS);
        replica.tick(nowMs + 3 * ELECTION_TIMEOUT_MS);
        assertTrue(
                replica.takeOutput().messagesAfterSync().stream()
                        .anyMatch(message -> message.message().hasVoteRequest()));
    }
}
