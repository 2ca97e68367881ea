package org.cardamomthread.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.cardamomthread.command.client.OperatorResponse;
import org.cardamomthread.command.client.OperatorTransport;
import org.cardamomthread.command.client.TransportException;
import org.cardamomthread.configuration.document.NetworkAddress;

/** Returns scripted responses and records the requests. Confined to one thread. */
public final class ScriptedTransport implements OperatorTransport {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Deque<Object> script = new ArrayDeque<>();
    private final List<String> requests = new ArrayList<>();
    private final List<JsonNode> bodies = new ArrayList<>();

    public ScriptedTransport respond(int status, String body) {
        script.add(new OperatorResponse(status, parse(body)));
        return this;
    }

    public ScriptedTransport fail(boolean mayHaveArrived) {
        script.add(new TransportException("connection lost", mayHaveArrived));
        return this;
    }

    public List<String> requests() {
        return requests;
    }

    public List<JsonNode> bodies() {
        return bodies;
    }

    @Override
    public OperatorResponse send(NetworkAddress server, String method, String path, String body)
            throws TransportException {
        requests.add(server.port() + " " + method + " " + path);
        bodies.add(parse(body.isEmpty() ? "{}" : body));
        Object next = script.remove();
        if (next instanceof TransportException failure) {
            throw failure;
        }
        return (OperatorResponse) next;
    }

    @Override
    public void close() {
        // No resources to release.
    }

    private static JsonNode parse(String body) {
        try {
            return MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            throw new AssertionError("the body must be JSON: " + body, e);
        }
    }
}
