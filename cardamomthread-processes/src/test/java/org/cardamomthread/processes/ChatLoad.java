package org.cardamomthread.processes;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Generates continuous streamed chat calls through all nodes, as callers behind a load balancer do:
 * only nodes that report themselves ready are called.
 *
 * <p>Safe for use by several threads; {@link #close()} waits for the calls in progress.
 */
final class ChatLoad implements AutoCloseable {

    private static final long CALL_INTERVAL_MS = 5;

    /**
     * The result of one call.
     *
     * @param node the node that was called
     * @param startedAtNs the start time, as {@link System#nanoTime()}
     * @param isCorrect whether the response was complete and correct
     * @param isCorrupt whether the status was 200 but the response was incomplete or incorrect
     * @param detail the status and body, or the exception, if the response is not correct
     */
    record CompletedCall(
            String node, long startedAtNs, boolean isCorrect, boolean isCorrupt, String detail) {}

    private final Cluster cluster;
    private final int tokens;
    private final ConcurrentLinkedQueue<CompletedCall> completedCalls =
            new ConcurrentLinkedQueue<>();
    private final List<Thread> workers = new ArrayList<>();
    private volatile boolean isStopped;

    ChatLoad(Cluster cluster, int workersPerNode, int tokens) {
        this.cluster = cluster;
        this.tokens = tokens;
        for (NodePorts node : cluster.nodes()) {
            for (int i = 0; i < workersPerNode; i++) {
                Thread worker = new Thread(() -> sendCalls(node), "load-" + node.id() + "-" + i);
                worker.setDaemon(true);
                worker.start();
                workers.add(worker);
            }
        }
    }

    List<CompletedCall> completedCalls() {
        return List.copyOf(completedCalls);
    }

    /** Counts the correct responses to calls through a node that started after the given time. */
    long countCorrectSince(String node, long sinceNs) {
        return completedCalls.stream()
                .filter(call -> call.node().equals(node) && call.startedAtNs() > sinceNs)
                .filter(CompletedCall::isCorrect)
                .count();
    }

    List<CompletedCall> failures() {
        return completedCalls.stream().filter(call -> !call.isCorrect()).toList();
    }

    List<CompletedCall> corruptResponses() {
        return completedCalls.stream().filter(CompletedCall::isCorrupt).toList();
    }

    @Override
    public void close() throws InterruptedException {
        isStopped = true;
        for (Thread worker : workers) {
            worker.join();
        }
    }

    private void sendCalls(NodePorts node) {
        int count = 0;
        while (!isStopped) {
            try {
                if (cluster.calls().status(node.operators(), "/readyz") == 200) {
                    String name = Thread.currentThread().getName();
                    sendCall(node, name + " call " + count);
                    count++;
                }
                Thread.sleep(CALL_INTERVAL_MS);
            } catch (IOException e) {
                Thread.onSpinWait();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void sendCall(NodePorts node, String question) throws InterruptedException {
        long startedAtNs = System.nanoTime();
        try {
            HttpResponse<String> response =
                    cluster.calls()
                            .call(
                                    node.callers(),
                                    ChatCalls.CHAT_PATH,
                                    ChatCalls.chat(question, tokens, true),
                                    Map.of());
            boolean isComplete =
                    response.statusCode() == 200 && ChatCalls.isComplete(response.body());
            boolean isCorrect =
                    isComplete
                            && ChatCalls.streamedText(response.body())
                                    .equals(ChatCalls.expectedText(question, tokens));
            boolean isCorrupt = response.statusCode() == 200 && !isCorrect;
            String detail = isCorrect ? "" : response.statusCode() + ": " + response.body();
            completedCalls.add(
                    new CompletedCall(node.id(), startedAtNs, isCorrect, isCorrupt, detail));
        } catch (IOException e) {
            completedCalls.add(
                    new CompletedCall(node.id(), startedAtNs, false, false, e.toString()));
        }
    }
}
