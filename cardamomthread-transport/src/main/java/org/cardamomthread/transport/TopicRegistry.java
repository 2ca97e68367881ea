package org.cardamomthread.transport;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.cardamomthread.core.id.NodeId;

/**
 * Registry of the handlers by topic number.
 *
 * <p>Thread-safe.
 */
final class TopicRegistry {

    private record Registration(PeerTopic topic, PeerHandler handler) {}

    private final Map<Integer, Registration> registrations = new ConcurrentHashMap<>();

    void register(PeerTopic topic, PeerHandler handler) {
        Registration added = new Registration(topic, handler);
        Registration existing = registrations.putIfAbsent(topic.number(), added);
        if (existing != null) {
            throw new IllegalArgumentException(
                    "topic number "
                            + topic.number()
                            + " is already registered by topic \""
                            + existing.topic().name()
                            + "\"");
        }
    }

    boolean hasHandler(int number) {
        return registrations.containsKey(number);
    }

    /**
     * Calls the handler of a registered topic. Every failure is reported through the returned
     * stage.
     */
    CompletionStage<byte[]> dispatch(NodeId from, int number, byte[] payload) {
        try {
            PeerHandler handler = registrations.get(number).handler();
            return Objects.requireNonNull(handler.handle(from, payload), "response stage");
        } catch (RuntimeException e) {
            return CompletableFuture.failedFuture(e);
        }
    }
}
