package org.cardamomthread.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.standin.fault.Fault;
import org.cardamomthread.standin.fault.FaultKind;
import org.cardamomthread.standin.http.Exchange;
import org.cardamomthread.standin.http.Json;

/**
 * Generates one answer token by token at the current speed of the engine.
 *
 * <p>Ends exactly once, whether it completes, is cancelled or fails. Confined to the event loop
 * thread of the server.
 */
final class Generation {

    /** Callbacks from a generation to its engine. */
    interface Engine {

        /** Returns the time between two tokens at the current load, in nanoseconds. */
        long tokenIntervalNs();

        /** Called once when the generation has ended, for whatever reason. */
        void generationEnded(Generation generation);
    }

    private static final String END_MARKER = "data: [DONE]\n\n";

    private final Exchange exchange;
    private final GenerationRequest request;
    private final Engine engine;
    private final Fault fault;
    private int emitted;
    private long nextTokenNs;
    private Future<?> timer;
    private boolean isEnded;

    Generation(Exchange exchange, GenerationRequest request, Engine engine, Fault fault) {
        this.exchange = exchange;
        this.request = request;
        this.engine = engine;
        this.fault = fault;
        emitted = request.resumedTokens();
    }

    String requestId() {
        return exchange.requestId();
    }

    /** Schedules the first token after the time for processing the prompt. */
    void start(long prefillMs) {
        timer = exchange.loop().schedule(this::begin, prefillMs, TimeUnit.MILLISECONDS);
    }

    /** Ends the generation by resetting the connection. */
    void abort() {
        exchange.reset();
        end();
    }

    /** Ends a cancelled generation; a stream gets no end marker. */
    void cancel() {
        if (request.isStreamed()) {
            exchange.endStream();
        } else {
            exchange.reply(499, Json.object().put("detail", "cancelled"));
        }
        end();
    }

    private boolean hasFault(FaultKind kind) {
        return fault != null && fault.kind() == kind;
    }

    private void begin() {
        if (hasFault(FaultKind.CROSSED)) {
            exchange.setResponseRequestId("other-" + requestId());
        }
        if (hasFault(FaultKind.RESET_BEFORE_FIRST_BYTE)) {
            abort();
            return;
        }
        if (request.isStreamed()) {
            exchange.startStream();
        }
        nextTokenNs = System.nanoTime();
        emitDueTokens();
    }

    private void emitDueTokens() {
        if (!exchange.isOpen()) {
            end();
            return;
        }
        StringBuilder events = new StringBuilder();
        long nowNs = System.nanoTime();
        while (emitted < request.tokens() && nextTokenNs <= nowNs) {
            events.append(tokenEvent(emitted));
            emitted++;
            nextTokenNs += engine.tokenIntervalNs();
            if (isInterruptionDue()) {
                interrupt(events.toString());
                return;
            }
        }
        if (request.isStreamed() && events.length() > 0) {
            exchange.sendEvents(events.toString());
        }
        if (emitted >= request.tokens()) {
            complete();
            return;
        }
        long delayNs = Math.max(1, nextTokenNs - System.nanoTime());
        timer = exchange.loop().schedule(this::emitDueTokens, delayNs, TimeUnit.NANOSECONDS);
    }

    /** Returns whether a fault interrupts the answer now, after half of its tokens. */
    private boolean isInterruptionDue() {
        boolean interrupts =
                hasFault(FaultKind.TRUNCATED) || hasFault(FaultKind.RESET_AFTER_FIRST_BYTE);
        return interrupts && emitted >= Math.max(1, request.tokens() / 2);
    }

    private void interrupt(String events) {
        if (!request.isStreamed()) {
            exchange.replyTruncated(createFullCompletion());
        } else if (hasFault(FaultKind.TRUNCATED)) {
            exchange.sendEvents(events);
            exchange.endStream();
        } else {
            exchange.sendEvents(events);
            exchange.reset();
        }
        end();
    }

    private void complete() {
        if (request.isStreamed()) {
            exchange.sendEvents(END_MARKER);
            exchange.endStream();
            if (hasFault(FaultKind.DUPLICATED)) {
                exchange.reply(200, createFullCompletion());
            }
        } else if (hasFault(FaultKind.DUPLICATED)) {
            exchange.replyTwice(createFullCompletion());
        } else {
            exchange.reply(200, createFullCompletion());
        }
        end();
    }

    private void end() {
        if (isEnded) {
            return;
        }
        isEnded = true;
        if (timer != null) {
            timer.cancel(false);
        }
        engine.generationEnded(this);
    }

    private String tokenText(int index) {
        return AnswerText.token(prompt(), index);
    }

    private String prompt() {
        return hasFault(FaultKind.CROSSED) ? "of another request" : request.prompt();
    }

    private String tokenEvent(int index) {
        if (!request.isStreamed()) {
            return "";
        }
        String token = tokenText(index);
        ObjectNode chunk = createCompletion("chat.completion.chunk");
        ObjectNode choice = chunk.withArray("choices").addObject().put("index", 0);
        choice.putObject("delta").put("content", token);
        choice.put("text", token).putNull("finish_reason");
        return "data: " + chunk + "\n\n";
    }

    private ObjectNode createFullCompletion() {
        String content = AnswerText.completeAnswer(prompt(), request.tokens());
        ObjectNode completion = createCompletion("chat.completion");
        ObjectNode choice = completion.withArray("choices").addObject().put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", content);
        choice.put("text", content).put("finish_reason", "stop");
        completion
                .putObject("usage")
                .put("prompt_tokens", request.promptTokens())
                .put("cached_tokens", request.cachedTokens())
                .put("completion_tokens", request.tokens());
        return completion;
    }

    private ObjectNode createCompletion(String object) {
        return Json.object()
                .put("id", "answer-" + requestId())
                .put("object", object)
                .put("model", request.model());
    }
}
