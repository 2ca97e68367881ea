package org.cardamomthread.scenarios;

import static org.testng.Assert.assertEquals;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.execution.ExecutionStatus;
import org.cardamomthread.execution.claim.AtMostOnceCall;
import org.cardamomthread.execution.claim.CallAction;
import org.cardamomthread.execution.claim.ClaimCommand;
import org.cardamomthread.execution.claim.ClaimKey;
import org.cardamomthread.execution.claim.ClaimOutcome;
import org.cardamomthread.execution.claim.ClaimSettings;
import org.cardamomthread.execution.claim.ClaimStateMachine;
import org.cardamomthread.execution.claim.StoredResponse;

/**
 * Executes scenarios of calls that run at most once, with gateways, the claim state machine and one
 * endpoint that records its runs.
 *
 * <p>Verbs: {@code send {id, key, body, gateway, fate}} sends a call. Its fate is {@code answered},
 * {@code refused} (nothing was written), {@code reset-before} or {@code reset-after} the endpoint
 * ran it, or {@code killed-before-claim}, {@code killed-after-claim} or {@code
 * killed-after-dispatch} for a gateway that is killed at that point. {@code cut} and {@code heal
 * {gateway}} disconnect and reconnect a gateway from the claims; its commands arrive late, when it
 * is reconnected. {@code freeze} and {@code thaw {gateway}} suspend and resume it between claim and
 * dispatch. {@code lose-disk {}} replaces the replica by one restored from a snapshot, {@code wait
 * {timeMs}} advances the time and expires claims, {@code gone {gateway}} marks the outstanding
 * claims of a gateway as unknown. {@code expect-within {id, execution, body}} checks a reply,
 * {@code expect-runs {key, runs}} checks the number of runs recorded by the endpoint.
 */
final class CallWorld implements World {

    private static final long START_MS = 1_733_299_200_000L;
    private static final long EXPIRE_INTERVAL_MS = 60_000;

    private ClaimStateMachine claims = new ClaimStateMachine(ClaimSettings.defaults());
    private final Map<String, Integer> runs = new HashMap<>();
    private final Map<String, CallAction.Reply> replies = new HashMap<>();
    private final Set<String> disconnectedGateways = new HashSet<>();
    private final Map<String, List<Runnable>> suspendedDispatches = new HashMap<>();
    private final Map<String, List<ClaimCommand>> delayedCommands = new HashMap<>();
    private long nowMs = START_MS;
    private long index;

    CallWorld() {
        apply(new ClaimCommand.Expire(nowMs));
    }

    @Override
    public void execute(Scenario.Step step) {
        switch (step.verb()) {
            case "send" -> new Call(step).start();
            case "cut" -> disconnectedGateways.add(step.text("gateway"));
            case "heal" -> reconnect(step.text("gateway"));
            case "freeze" -> suspendedDispatches.put(step.text("gateway"), new ArrayList<>());
            case "thaw" -> suspendedDispatches.remove(step.text("gateway")).forEach(Runnable::run);
            case "lose-disk" -> restoreReplica();
            case "wait" -> advanceTime(step.number("timeMs"));
            case "gone" ->
                    claims.markUnknownCommandsFor(new NodeId(step.text("gateway")), nowMs)
                            .forEach(this::apply);
            case "expect-within" -> expectReply(step);
            case "expect-runs" ->
                    assertEquals(
                            runs.getOrDefault(step.text("key"), 0).intValue(),
                            (int) step.number("runs"),
                            "step " + step.number());
            default -> throw step.unknownVerb();
        }
    }

    private void reconnect(String gateway) {
        disconnectedGateways.remove(gateway);
        delayedCommands.getOrDefault(gateway, List.of()).forEach(this::apply);
        delayedCommands.remove(gateway);
    }

    private void restoreReplica() {
        ClaimStateMachine restored = new ClaimStateMachine(ClaimSettings.defaults());
        restored.restore(claims.snapshot());
        claims = restored;
    }

    private void advanceTime(long timeMs) {
        long endMs = nowMs + timeMs;
        while (nowMs < endMs) {
            nowMs = Math.min(endMs, nowMs + EXPIRE_INTERVAL_MS);
            apply(new ClaimCommand.Expire(nowMs));
        }
    }

    private void expectReply(Scenario.Step step) {
        CallAction.Reply reply = replies.get(step.text("id"));
        String description = "step " + step.number() + ": reply to " + step.text("id");
        if (step.text("execution").equals("none")) {
            assertEquals(reply, null, description);
            return;
        }
        assertEquals(reply.execution().text(), step.text("execution"), description);
        if (step.has("body")) {
            String body = reply.answer().orElseThrow().body().toStringUtf8();
            assertEquals(body, step.text("body"), description);
        }
        if (reply.execution() == ExecutionStatus.NOT_RUN) {
            assertEquals(runs.getOrDefault(step.text("id"), 0).intValue(), 0, description);
        }
    }

    private ClaimOutcome apply(ClaimCommand command) {
        return ClaimOutcome.parse(claims.apply(++index, command.toBytes()));
    }

    /** One execution of the {@code send} verb. */
    private final class Call {

        private final String id;
        private final String key;
        private final String body;
        private final String gateway;
        private final String faultPoint;
        private final AtMostOnceCall call;

        Call(Scenario.Step step) {
            id = step.text("id");
            key = step.text("key");
            body = step.textOr("body", "booking");
            gateway = step.text("gateway");
            faultPoint = step.textOr("fate", "answered");
            call =
                    new AtMostOnceCall(
                            new ClaimKey(new ClientAccountId("bar-1"), new ServiceId("drops"), key),
                            ByteString.copyFromUtf8(body),
                            new NodeId(gateway),
                            id);
        }

        void start() {
            if (!faultPoint.equals("killed-before-claim")) {
                perform(call.start(nowMs));
            }
        }

        private void perform(List<CallAction> actions) {
            for (CallAction action : actions) {
                if (action instanceof CallAction.Propose propose) {
                    propose(propose.command());
                } else if (action instanceof CallAction.Reply reply) {
                    replies.put(id, reply);
                } else if (!faultPoint.equals("killed-after-claim")) {
                    dispatchUnlessFrozen();
                }
            }
        }

        private void propose(ClaimCommand command) {
            boolean connected = !disconnectedGateways.contains(gateway);
            ClaimOutcome outcome = connected ? apply(command) : null;
            if (!connected) {
                delayedCommands.computeIfAbsent(gateway, key -> new ArrayList<>()).add(command);
            }
            if (command instanceof ClaimCommand.Claim) {
                perform(connected ? call.onClaimOutcome(outcome) : call.onClaimTimeout(nowMs));
            } else if (command instanceof ClaimCommand.Complete) {
                perform(call.onRecordFinished());
            } else if (command instanceof ClaimCommand.Release) {
                if (!replies.containsKey(id)) {
                    perform(call.onReleaseFinished());
                }
            }
        }

        private void dispatchUnlessFrozen() {
            if (suspendedDispatches.containsKey(gateway)) {
                suspendedDispatches.get(gateway).add(this::dispatch);
            } else {
                dispatch();
            }
        }

        private void dispatch() {
            if (faultPoint.equals("refused")) {
                perform(call.onSendNotStarted(nowMs));
                return;
            }
            call.onBeforeSend();
            if (faultPoint.equals("reset-before")) {
                perform(call.onFailureAfterSend(nowMs));
                return;
            }
            runs.merge(key, 1, Integer::sum);
            runs.merge(id, 1, Integer::sum);
            if (faultPoint.equals("reset-after")) {
                perform(call.onFailureAfterSend(nowMs));
            } else if (!faultPoint.equals("killed-after-dispatch")) {
                byte[] text = ("done by " + id).getBytes(StandardCharsets.UTF_8);
                perform(call.onResponse(StoredResponse.of(200, List.of(), text), nowMs));
            }
        }
    }
}
