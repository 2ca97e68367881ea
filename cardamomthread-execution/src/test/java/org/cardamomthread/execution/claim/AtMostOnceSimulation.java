package org.cardamomthread.execution.claim;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.execution.ExecutionStatus;

/**
 * Simulates callers, gateways, the replicated log of claims and an endpoint, interleaved from one
 * seed. Commands are lost, repeated and delayed, gateways crash or pause at any step, and callers
 * resend to any gateway at any time.
 */
final class AtMostOnceSimulation {

    /** Reply to a caller. */
    record Reply(
            String key, String attemptId, String sent, ExecutionStatus execution, String body) {}

    private record Event(long dueMs, long order, Runnable action) {}

    private static final int KEYS = 4;
    private static final int REQUESTS = 24;
    private static final int END_MS = 20_000;
    private static final int MAX_PROPOSALS = 3;

    private final Random random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::dueMs).thenComparingLong(Event::order));
    private final Map<String, Integer> runsByKey = new HashMap<>();
    private final Set<String> attemptsRun = new HashSet<>();
    private final List<Reply> replies = new ArrayList<>();
    private final Set<String> crashedAttempts = new HashSet<>();
    private ClaimStateMachine claims = new ClaimStateMachine(ClaimSettings.defaults());
    private long nowMs;
    private long order;
    private long index;

    AtMostOnceSimulation(long seed) {
        random = new Random(seed);
        for (int i = 0; i < REQUESTS; i++) {
            String key = "key-" + random.nextInt(KEYS);
            String body = random.nextInt(6) == 0 ? "other" : "booking";
            String attemptId = "attempt-" + i;
            schedule(random.nextInt(3_000), () -> new Attempt(key, body, attemptId).start());
        }
    }

    void run() {
        while (!events.isEmpty() && events.peek().dueMs() <= END_MS) {
            Event event = events.poll();
            nowMs = event.dueMs();
            event.action().run();
        }
    }

    Map<String, Integer> runsByKey() {
        return runsByKey;
    }

    Set<String> attemptsRun() {
        return attemptsRun;
    }

    List<Reply> replies() {
        return replies;
    }

    private void schedule(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, order++, action));
    }

    private long randomDelayMs() {
        return random.nextInt(10) == 0 ? random.nextInt(5_000) : random.nextInt(100);
    }

    private ClaimOutcome apply(byte[] command) {
        if (random.nextInt(10) == 0) {
            ClaimStateMachine restored = new ClaimStateMachine(ClaimSettings.defaults());
            restored.restore(claims.snapshot());
            claims = restored;
        }
        return ClaimOutcome.parse(claims.apply(++index, command));
    }

    /** Processing of one request by one gateway. */
    private final class Attempt {

        private final String key;
        private final String body;
        private final String attemptId;
        private final AtMostOnceCall call;

        Attempt(String key, String body, String attemptId) {
            this.key = key;
            this.body = body;
            this.attemptId = attemptId;
            call =
                    new AtMostOnceCall(
                            new ClaimKey(new ClientAccountId("bar-1"), new ServiceId("drops"), key),
                            ByteString.copyFromUtf8(body),
                            new NodeId("gateway-" + random.nextInt(3)),
                            attemptId);
        }

        void start() {
            perform(call.start(nowMs));
        }

        private void perform(List<CallAction> actions) {
            for (CallAction action : actions) {
                if (action instanceof CallAction.Propose propose) {
                    propose(propose.command(), MAX_PROPOSALS);
                } else if (action instanceof CallAction.Dispatch) {
                    scheduleUnlessCrashed(this::dispatch);
                } else if (action instanceof CallAction.Reply reply) {
                    String text =
                            reply.answer().map(value -> value.body().toStringUtf8()).orElse(null);
                    replies.add(new Reply(key, attemptId, body, reply.execution(), text));
                }
            }
        }

        /** Schedules an action, which is dropped if the gateway crashes before it. */
        private void scheduleUnlessCrashed(Runnable action) {
            schedule(
                    randomDelayMs(),
                    () -> {
                        if (random.nextInt(15) == 0) {
                            crashedAttempts.add(attemptId);
                        }
                        if (!crashedAttempts.contains(attemptId)) {
                            action.run();
                        }
                    });
        }

        private void propose(ClaimCommand command, int proposalsLeft) {
            byte[] bytes = command.toBytes();
            boolean[] settled = {false};
            int copies = random.nextInt(8) == 0 ? 2 : random.nextInt(6) == 0 ? 0 : 1;
            for (int i = 0; i < copies; i++) {
                schedule(
                        randomDelayMs(),
                        () -> {
                            ClaimOutcome outcome = apply(bytes);
                            if (random.nextInt(6) != 0) {
                                scheduleUnlessCrashed(() -> onOutcome(command, outcome, settled));
                            }
                        });
            }
            schedule(500, () -> timeOut(command, proposalsLeft, settled));
        }

        private void timeOut(ClaimCommand command, int proposalsLeft, boolean[] settled) {
            if (settled[0] || crashedAttempts.contains(attemptId)) {
                return;
            }
            if (proposalsLeft > 1) {
                propose(command, proposalsLeft - 1);
            } else {
                settled[0] = true;
                finishWithoutOutcome(command);
            }
        }

        private void onOutcome(ClaimCommand command, ClaimOutcome outcome, boolean[] settled) {
            if (settled[0]) {
                return;
            }
            settled[0] = true;
            if (command instanceof ClaimCommand.Claim) {
                perform(call.onClaimOutcome(outcome));
            } else {
                finishWithoutOutcome(command);
            }
        }

        private void finishWithoutOutcome(ClaimCommand command) {
            if (command instanceof ClaimCommand.Claim) {
                perform(call.onClaimTimeout(nowMs));
            } else if (command instanceof ClaimCommand.Release) {
                perform(call.onReleaseFinished());
            } else if (command instanceof ClaimCommand.Complete) {
                perform(call.onRecordFinished());
            }
        }

        private void dispatch() {
            if (random.nextInt(5) == 0) {
                perform(call.onSendNotStarted(nowMs));
                return;
            }
            call.onBeforeSend();
            int scenario = random.nextInt(6);
            if (scenario == 0) {
                scheduleUnlessCrashed(() -> perform(call.onFailureAfterSend(nowMs)));
                return;
            }
            schedule(randomDelayMs(), () -> runAtEndpoint(scenario));
        }

        private void runAtEndpoint(int scenario) {
            int run = runsByKey.merge(key, 1, Integer::sum);
            attemptsRun.add(attemptId);
            if (scenario == 1) {
                scheduleUnlessCrashed(() -> perform(call.onFailureAfterSend(nowMs)));
                return;
            }
            String text = key + " run " + run + " " + body;
            StoredResponse response =
                    StoredResponse.of(200, List.of(), text.getBytes(StandardCharsets.UTF_8));
            scheduleUnlessCrashed(() -> perform(call.onResponse(response, nowMs)));
        }
    }
}
