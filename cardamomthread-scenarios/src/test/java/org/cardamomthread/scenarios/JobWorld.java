package org.cardamomthread.scenarios;

import static org.testng.Assert.assertEquals;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.JobId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.execution.job.Job;
import org.cardamomthread.execution.job.JobCommand;
import org.cardamomthread.execution.job.JobStateMachine;
import org.cardamomthread.execution.stream.DeliveredOutput;
import org.cardamomthread.execution.stream.EngineCapabilities;
import org.cardamomthread.execution.stream.ResumePlan;

/**
 * Executes scenarios of accepted jobs against the job state machine. A word stands for a token;
 * every prompt has 100 tokens.
 *
 * <p>Verbs: {@code send {id}} accepts a job; {@code start {node, resume, kvTransfer}} assigns the
 * first queued job to a node whose engine has these capabilities; {@code notice {node, delivered}}
 * requeues the jobs of a reclaimed node with the text delivered so far; {@code kill {node}} stops
 * the lease renewals of a node without notice; {@code answer {id, attempt, body}} records a result,
 * possibly of an earlier attempt; {@code lose-disk {}} replaces the replica by one restored from a
 * snapshot; {@code wait {timeMs}} advances the time and expires leases; {@code expect-within {id,
 * state, body}} checks a job; {@code expect-recomputed {tokens}} checks the total of recomputed
 * tokens.
 */
final class JobWorld implements World {

    private static final long START_MS = 1_733_299_200_000L;
    private static final long LEASE_MS = 5_000;
    private static final long RETENTION_MS = 86_400_000;
    private static final int PROMPT_TOKENS = 100;

    private JobStateMachine jobs = new JobStateMachine(RETENTION_MS);
    private final Map<String, EngineCapabilities> engines = new HashMap<>();
    private final List<String> killedNodes = new ArrayList<>();
    private long nowMs = START_MS;
    private long index;
    private int recomputedTokens;

    @Override
    public void execute(Scenario.Step step) {
        switch (step.verb()) {
            case "send" -> accept(step.text("id"));
            case "start" -> assign(step);
            case "notice" -> requeue(step);
            case "kill" -> killedNodes.add(step.text("node"));
            case "answer" -> complete(step);
            case "lose-disk" -> restoreReplica();
            case "wait" -> advanceTime(step.number("timeMs"));
            case "expect-within" -> expectJob(step);
            case "expect-recomputed" ->
                    assertEquals(recomputedTokens, (int) step.number("tokens"), stepLabel(step));
            default -> throw step.unknownVerb();
        }
    }

    private void accept(String id) {
        apply(
                new JobCommand.Accept(
                        new JobId(id),
                        new ClientAccountId("bar-1"),
                        new ServiceId("orders"),
                        ByteString.copyFromUtf8("draft"),
                        nowMs,
                        nowMs));
    }

    private void assign(Scenario.Step step) {
        Job job = jobs.queued().get(0);
        String node = step.text("node");
        boolean resume = step.textOr("resume", "false").equals("true");
        boolean transfer = step.textOr("kvTransfer", "false").equals("true");
        EngineCapabilities newCapabilities = new EngineCapabilities(resume, transfer);
        if (job.attempt() > 0) {
            EngineCapabilities previousCapabilities =
                    engines.getOrDefault(job.id().value(), newCapabilities);
            recomputedTokens +=
                    ResumePlan.select(
                                    job.delivered(),
                                    PROMPT_TOKENS,
                                    true,
                                    previousCapabilities,
                                    newCapabilities)
                            .recomputedTokens();
        }
        engines.put(job.id().value(), newCapabilities);
        NodeId nodeId = new NodeId(node);
        apply(new JobCommand.Assign(job.id(), nodeId, job.attempt() + 1, LEASE_MS, nowMs));
    }

    private void requeue(Scenario.Step step) {
        String text = step.textOr("delivered", "");
        int tokens = text.isEmpty() ? 0 : text.split(" ").length;
        for (Job job : jobs.assignedTo(new NodeId(step.text("node")))) {
            DeliveredOutput delivered = new DeliveredOutput(text, tokens);
            apply(new JobCommand.Requeue(job.id(), job.attempt(), delivered, nowMs));
        }
    }

    private void complete(Scenario.Step step) {
        ByteString body = ByteString.copyFromUtf8(step.text("body"));
        int attempt = (int) step.number("attempt");
        apply(new JobCommand.Complete(new JobId(step.text("id")), attempt, 200, body, nowMs));
    }

    private void restoreReplica() {
        JobStateMachine restored = new JobStateMachine(RETENTION_MS);
        restored.restore(jobs.snapshot());
        jobs = restored;
    }

    private void advanceTime(long timeMs) {
        long endMs = nowMs + timeMs;
        while (nowMs < endMs) {
            nowMs = Math.min(endMs, nowMs + LEASE_MS / 2);
            renewLeasesOfLiveNodes();
            apply(new JobCommand.Expire(nowMs));
        }
    }

    private void renewLeasesOfLiveNodes() {
        for (String node : List.of("n1", "n2", "n3")) {
            if (!killedNodes.contains(node)) {
                for (Job job : jobs.assignedTo(new NodeId(node))) {
                    apply(new JobCommand.Renew(job.id(), job.attempt(), LEASE_MS, nowMs));
                }
            }
        }
    }

    private void expectJob(Scenario.Step step) {
        Job job = jobs.find(new JobId(step.text("id"))).orElseThrow();
        assertEquals(job.state().name().toLowerCase(Locale.ROOT), step.text("state"));
        if (step.has("body")) {
            assertEquals(job.result().toStringUtf8(), step.text("body"), stepLabel(step));
        }
    }

    private static String stepLabel(Scenario.Step step) {
        return "step " + step.number();
    }

    private void apply(JobCommand command) {
        jobs.apply(++index, command.toBytes());
    }
}
