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
import org.cardamomthread.execution.stream.Delivered;
import org.cardamomthread.execution.stream.EngineAbilities;
import org.cardamomthread.execution.stream.ResumePlan;

/**
 * Plays accepted patient work through its log. A word stands for a token; every prompt has 100
 * tokens.
 *
 * <p>Verbs: {@code send {id}} accepts a job; {@code start {node, resume, kvTransfer}} gives the
 * first queued job to a node whose engine has these abilities; {@code notice {node, delivered}}
 * puts what a reclaimed engine has back with its text; {@code kill {node}} ends a node without a
 * word; {@code answer {id, attempt, body}} records a result, also of an older attempt; {@code
 * lose-disk {}} replaces the replica by a restored one; {@code wait {timeMs}}; {@code expect-within
 * {id, state, body}}; {@code expect-recomputed {tokens}}.
 */
final class JobWorld implements World {

    private static final long START_MS = 1_733_299_200_000L;
    private static final long LEASE_MS = 5_000;
    private static final long RETENTION_MS = 86_400_000;
    private static final int PROMPT_TOKENS = 100;

    private JobStateMachine jobs = new JobStateMachine(RETENTION_MS);
    private final Map<String, EngineAbilities> engines = new HashMap<>();
    private final List<String> dead = new ArrayList<>();
    private long nowMs = START_MS;
    private long index;
    private int recomputedTokens;

    @Override
    public void play(Scenario.Step step) {
        switch (step.verb()) {
            case "send" -> accept(step.text("id"));
            case "start" -> assign(step);
            case "notice" -> requeue(step);
            case "kill" -> dead.add(step.text("node"));
            case "answer" -> answer(step);
            case "lose-disk" -> loseDisk();
            case "wait" -> age(step.number("timeMs"));
            case "expect-within" -> expectJob(step);
            case "expect-recomputed" ->
                    assertEquals(recomputedTokens, (int) step.number("tokens"), where(step));
            default -> throw step.unknown();
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
        EngineAbilities to = new EngineAbilities(resume, transfer);
        if (job.attempt() > 0) {
            EngineAbilities from = engines.getOrDefault(job.id().value(), to);
            recomputedTokens +=
                    ResumePlan.choose(job.delivered(), PROMPT_TOKENS, true, from, to)
                            .recomputedTokens();
        }
        engines.put(job.id().value(), to);
        NodeId nodeId = new NodeId(node);
        apply(new JobCommand.Assign(job.id(), nodeId, job.attempt() + 1, LEASE_MS, nowMs));
    }

    private void requeue(Scenario.Step step) {
        String text = step.textOr("delivered", "");
        int tokens = text.isEmpty() ? 0 : text.split(" ").length;
        for (Job job : jobs.assignedTo(new NodeId(step.text("node")))) {
            Delivered delivered = new Delivered(text, tokens);
            apply(new JobCommand.Requeue(job.id(), job.attempt(), delivered, nowMs));
        }
    }

    private void answer(Scenario.Step step) {
        ByteString body = ByteString.copyFromUtf8(step.text("body"));
        int attempt = (int) step.number("attempt");
        apply(new JobCommand.Complete(new JobId(step.text("id")), attempt, 200, body, nowMs));
    }

    private void loseDisk() {
        JobStateMachine repaired = new JobStateMachine(RETENTION_MS);
        repaired.restore(jobs.snapshot());
        jobs = repaired;
    }

    private void age(long timeMs) {
        long endMs = nowMs + timeMs;
        while (nowMs < endMs) {
            nowMs = Math.min(endMs, nowMs + LEASE_MS / 2);
            renewLive();
            apply(new JobCommand.Expire(nowMs));
        }
    }

    private void renewLive() {
        for (String node : List.of("n1", "n2", "n3")) {
            if (!dead.contains(node)) {
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
            assertEquals(job.result().toStringUtf8(), step.text("body"), where(step));
        }
    }

    private static String where(Scenario.Step step) {
        return "step " + step.number();
    }

    private void apply(JobCommand command) {
        jobs.apply(++index, command.toBytes());
    }
}
