package org.cardamomthread.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.standin.fault.Fault;
import org.cardamomthread.standin.fault.FaultKind;
import org.cardamomthread.standin.http.Exchange;
import org.cardamomthread.standin.http.Json;

/**
 * Generates one answer token by token at the engine's present speed.
 *
 * <p>Invariant: ends exactly once. Used on the one thread of the server only.
 */
final class Generation {

    /** What the engine tells a generation and hears from it. */
    interface Engine {

        /** Returns the time between two tokens at the present load, in nanoseconds. */
        long tokenIntervalNs();

        /** Called at the end of any kind. */
        void ended(Generation generation);
    }

    private static final String END = "data: [DONE]\n\n";

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

    /** Starts after the prompt is processed. */
    void start(long prefillMs) {
        timer = exchange.loop().schedule(this::first, prefillMs, TimeUnit.MILLISECONDS);
    }

    /** Resets the connection, as an engine that falls over does. */
    void breakOff() {
        exchange.reset();
        end();
    }

    /** Ends a cancelled answer without its end marker. */
    void cancel() {
        if (request.isStreamed()) {
            exchange.endStream();
        } else {
            exchange.reply(499, Json.object().put("detail", "cancelled"));
        }
        end();
    }

    private boolean has(FaultKind kind) {
        return fault != null && fault.kind() == kind;
    }

    private void first() {
        if (has(FaultKind.CROSSED)) {
            exchange.answerAs("other-" + requestId());
        }
        if (has(FaultKind.RESET_BEFORE_FIRST_BYTE)) {
            breakOff();
            return;
        }
        if (request.isStreamed()) {
            exchange.startStream();
        }
        nextTokenNs = System.nanoTime();
        next();
    }

    private void next() {
        if (!exchange.isOpen()) {
            end();
            return;
        }
        StringBuilder events = new StringBuilder();
        long nowNs = System.nanoTime();
        while (emitted < request.tokens() && nextTokenNs <= nowNs) {
            events.append(event(emitted));
            emitted++;
            nextTokenNs += engine.tokenIntervalNs();
            if (isBroken()) {
                breakMidway(events.toString());
                return;
            }
        }
        if (request.isStreamed() && events.length() > 0) {
            exchange.stream(events.toString());
        }
        if (emitted >= request.tokens()) {
            complete();
            return;
        }
        long delayNs = Math.max(1, nextTokenNs - System.nanoTime());
        timer = exchange.loop().schedule(this::next, delayNs, TimeUnit.NANOSECONDS);
    }

    /** Tells whether a fault ends the answer now, at its middle. */
    private boolean isBroken() {
        boolean breaks = has(FaultKind.TRUNCATED) || has(FaultKind.RESET_AFTER_FIRST_BYTE);
        return breaks && emitted >= Math.max(1, request.tokens() / 2);
    }

    private void breakMidway(String events) {
        if (!request.isStreamed()) {
            exchange.replyTruncated(whole());
        } else if (has(FaultKind.TRUNCATED)) {
            exchange.stream(events);
            exchange.endStream();
        } else {
            exchange.stream(events);
            exchange.reset();
        }
        end();
    }

    private void complete() {
        if (request.isStreamed()) {
            exchange.stream(END);
            exchange.endStream();
            if (has(FaultKind.DUPLICATED)) {
                exchange.reply(200, whole());
            }
        } else if (has(FaultKind.DUPLICATED)) {
            exchange.replyTwice(whole());
        } else {
            exchange.reply(200, whole());
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
        engine.ended(this);
    }

    private String text(int index) {
        return AnswerText.token(prompt(), index);
    }

    private String prompt() {
        return has(FaultKind.CROSSED) ? "of another request" : request.prompt();
    }

    private String event(int index) {
        if (!request.isStreamed()) {
            return "";
        }
        String token = text(index);
        ObjectNode chunk = head("chat.completion.chunk");
        ObjectNode choice = chunk.withArray("choices").addObject().put("index", 0);
        choice.putObject("delta").put("content", token);
        choice.put("text", token).putNull("finish_reason");
        return "data: " + chunk + "\n\n";
    }

    private ObjectNode whole() {
        String content = AnswerText.whole(prompt(), request.tokens());
        ObjectNode answer = head("chat.completion");
        ObjectNode choice = answer.withArray("choices").addObject().put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", content);
        choice.put("text", content).put("finish_reason", "stop");
        answer.putObject("usage")
                .put("prompt_tokens", request.promptTokens())
                .put("cached_tokens", request.cachedTokens())
                .put("completion_tokens", request.tokens());
        return answer;
    }

    private ObjectNode head(String object) {
        return Json.object()
                .put("id", "answer-" + requestId())
                .put("object", object)
                .put("model", request.model());
    }
}
