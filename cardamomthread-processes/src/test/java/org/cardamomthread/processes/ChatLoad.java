package org.cardamomthread.processes;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Streams chats through nodes without a pause, as callers behind a balancer do: a call goes only to
 * a node that says it is ready.
 *
 * <p>Safe for use by several threads; {@link #close()} waits for the calls in progress.
 */
final class ChatLoad implements AutoCloseable {

    private static final long PAUSE_MS = 5;

    /**
     * Describes the end of one call.
     *
     * @param node the node that was called
     * @param startedAtNs when it began, as {@link System#nanoTime()}
     * @param isWhole whether it was the whole right answer
     * @param isWrong whether it looked complete and was not right
     * @param detail what was seen if it is not whole
     */
    record Ended(String node, long startedAtNs, boolean isWhole, boolean isWrong, String detail) {}

    private final Cluster cluster;
    private final int tokens;
    private final ConcurrentLinkedQueue<Ended> ended = new ConcurrentLinkedQueue<>();
    private final List<Thread> workers = new ArrayList<>();
    private volatile boolean isStopped;

    ChatLoad(Cluster cluster, int workersPerNode, int tokens) {
        this.cluster = cluster;
        this.tokens = tokens;
        for (NodeAddresses node : cluster.nodes()) {
            for (int i = 0; i < workersPerNode; i++) {
                Thread worker = new Thread(() -> work(node), "load-" + node.id() + "-" + i);
                worker.setDaemon(true);
                worker.start();
                workers.add(worker);
            }
        }
    }

    List<Ended> ended() {
        return List.copyOf(ended);
    }

    /** Counts the whole answers to calls through a node that began after a time. */
    long wholeSince(String node, long sinceNs) {
        return ended.stream()
                .filter(call -> call.node().equals(node) && call.startedAtNs() > sinceNs)
                .filter(Ended::isWhole)
                .count();
    }

    List<Ended> failures() {
        return ended.stream().filter(call -> !call.isWhole()).toList();
    }

    List<Ended> wrong() {
        return ended.stream().filter(Ended::isWrong).toList();
    }

    @Override
    public void close() throws InterruptedException {
        isStopped = true;
        for (Thread worker : workers) {
            worker.join();
        }
    }

    private void work(NodeAddresses node) {
        int count = 0;
        while (!isStopped) {
            try {
                if (cluster.calls().status(node.operators(), "/readyz") == 200) {
                    String name = Thread.currentThread().getName();
                    call(node, name + " call " + count);
                    count++;
                }
                Thread.sleep(PAUSE_MS);
            } catch (IOException e) {
                Thread.onSpinWait();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void call(NodeAddresses node, String question) throws InterruptedException {
        long startedAtNs = System.nanoTime();
        try {
            HttpResponse<String> answer =
                    cluster.calls()
                            .call(
                                    node.callers(),
                                    Answers.CHAT,
                                    Answers.chat(question, tokens, true),
                                    Map.of());
            boolean isComplete = answer.statusCode() == 200 && Answers.isComplete(answer.body());
            boolean isRight =
                    isComplete
                            && Answers.streamedText(answer.body())
                                    .equals(Answers.expected(question, tokens));
            boolean isWrong = answer.statusCode() == 200 && !isRight;
            String detail = isRight ? "" : answer.statusCode() + ": " + answer.body();
            ended.add(new Ended(node.id(), startedAtNs, isRight, isWrong, detail));
        } catch (IOException e) {
            ended.add(new Ended(node.id(), startedAtNs, false, false, e.toString()));
        }
    }
}
