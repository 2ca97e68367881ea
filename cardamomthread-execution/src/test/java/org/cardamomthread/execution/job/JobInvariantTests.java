package org.cardamomthread.execution.job;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.JobId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.execution.job.JobOutcome.Kind;
import org.cardamomthread.execution.stream.DeliveredOutput;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that every accepted job ends with exactly one result when commands are lost, repeated or
 * delayed and nodes stop responding.
 */
public class JobInvariantTests {

    private static final int DEFAULT_SEEDS = 100;
    private static final int JOBS = 5;
    private static final int STEPS = 400;
    private static final long LEASE_MS = 3_000;
    private static final long RETENTION_MS = 86_400_000;

    @DataProvider
    public Object[][] seeds() {
        int count = Integer.getInteger("execution.seeds", DEFAULT_SEEDS);
        Object[][] rows = new Object[count][];
        for (int i = 0; i < count; i++) {
            rows[i] = new Object[] {(long) i};
        }
        return rows;
    }

    @Test(dataProvider = "seeds")
    public void acceptedJobEndsWithOneResult(long seed) {
        Random random = new Random(seed);
        JobStateMachine machine = new JobStateMachine(RETENTION_MS);
        List<byte[]> delayedCommands = new ArrayList<>();
        Map<JobId, ByteString> results = new HashMap<>();
        long nowMs = 1_000_000;
        for (int i = 0; i < JOBS; i++) {
            submit(machine, delayedCommands, random, accept("job-" + i, nowMs));
        }
        for (int i = 0; i < JOBS; i++) {
            apply(machine, accept("job-" + i, nowMs).toBytes());
        }
        for (int step = 0; step < STEPS; step++) {
            nowMs += random.nextInt(500);
            boolean faultFree = step > STEPS / 2;
            submit(machine, delayedCommands, random, new JobCommand.Expire(nowMs));
            for (Job job : machine.queued()) {
                NodeId node = new NodeId("node-" + random.nextInt(3));
                submit(
                        machine,
                        delayedCommands,
                        random,
                        new JobCommand.Assign(job.id(), node, job.attempt() + 1, LEASE_MS, nowMs));
            }
            for (int node = 0; node < 3; node++) {
                for (Job job : machine.assignedTo(new NodeId("node-" + node))) {
                    simulateNode(machine, delayedCommands, random, job, nowMs, faultFree);
                }
            }
            if (!delayedCommands.isEmpty() && random.nextInt(4) == 0) {
                apply(machine, delayedCommands.remove(random.nextInt(delayedCommands.size())));
            }
            machine = maybeRestoreFromSnapshot(machine, random);
            assertResultsUnchanged(machine, results, seed);
        }
        assertEquals(machine.unfinishedCount(), 0, "seed " + seed);
        assertEquals(results.size(), JOBS, "seed " + seed);
    }

    private static void simulateNode(
            JobStateMachine machine,
            List<byte[]> delayedCommands,
            Random random,
            Job job,
            long nowMs,
            boolean faultFree) {
        ByteString result = ByteString.copyFromUtf8("answer of attempt " + job.attempt());
        switch (random.nextInt(faultFree ? 2 : 8)) {
            case 0 ->
                    submit(
                            machine,
                            delayedCommands,
                            random,
                            new JobCommand.Complete(job.id(), job.attempt(), 200, result, nowMs));
            case 1 ->
                    submit(
                            machine,
                            delayedCommands,
                            random,
                            new JobCommand.Renew(job.id(), job.attempt(), LEASE_MS, nowMs));
            case 2 ->
                    submit(
                            machine,
                            delayedCommands,
                            random,
                            new JobCommand.Requeue(
                                    job.id(), job.attempt(), new DeliveredOutput("a", 1), nowMs));
            case 3 ->
                    delayedCommands.add(
                            new JobCommand.Complete(job.id(), job.attempt(), 200, result, nowMs)
                                    .toBytes());
            default -> {
                // The node does not respond in this step.
            }
        }
    }

    @Test
    public void lateResultOfAnEarlierAttemptIsIgnored() {
        JobStateMachine machine = new JobStateMachine(RETENTION_MS);
        JobId id = new JobId("job-1");
        ByteString result = ByteString.copyFromUtf8("old");
        apply(machine, accept("job-1", 0).toBytes());
        NodeId node = new NodeId("node-1");
        apply(machine, new JobCommand.Assign(id, node, 1, LEASE_MS, 0).toBytes());
        apply(machine, new JobCommand.Expire(LEASE_MS).toBytes());
        assertEquals(machine.find(id).orElseThrow().state(), JobState.QUEUED);
        JobCommand late = new JobCommand.Complete(id, 1, 200, result, LEASE_MS);
        assertEquals(apply(machine, late.toBytes()).kind(), Kind.STALE);
        apply(machine, new JobCommand.Assign(id, node, 2, LEASE_MS, LEASE_MS).toBytes());
        assertEquals(apply(machine, late.toBytes()).kind(), Kind.STALE);
    }

    private static JobCommand accept(String id, long nowMs) {
        return new JobCommand.Accept(
                new JobId(id),
                new ClientAccountId("bar-1"),
                new ServiceId("orders"),
                ByteString.copyFromUtf8("draft"),
                nowMs + 60_000,
                nowMs);
    }

    /**
     * Applies a command not at all, once or twice, and sometimes schedules another late delivery.
     */
    private static void submit(
            JobStateMachine machine,
            List<byte[]> delayedCommands,
            Random random,
            JobCommand command) {
        int copies = random.nextInt(6) == 0 ? 0 : random.nextInt(6) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            apply(machine, command.toBytes());
        }
        if (random.nextInt(6) == 0) {
            delayedCommands.add(command.toBytes());
        }
    }

    private static void assertResultsUnchanged(
            JobStateMachine machine, Map<JobId, ByteString> results, long seed) {
        for (int i = 0; i < JOBS; i++) {
            JobId id = new JobId("job-" + i);
            Job job = machine.find(id).orElseThrow();
            if (job.state() == JobState.COMPLETED) {
                ByteString before = results.putIfAbsent(id, job.result());
                assertTrue(before == null || before.equals(job.result()), "seed " + seed);
            } else {
                assertTrue(!results.containsKey(id), "seed " + seed);
            }
        }
    }

    private static JobStateMachine maybeRestoreFromSnapshot(
            JobStateMachine machine, Random random) {
        if (random.nextInt(20) != 0) {
            return machine;
        }
        JobStateMachine restored = new JobStateMachine(RETENTION_MS);
        restored.restore(machine.snapshot());
        return restored;
    }

    private static JobOutcome apply(JobStateMachine machine, byte[] command) {
        return JobOutcome.parse(machine.apply(1, command));
    }
}
