package org.cardamomthread.daemon.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/** Copies the headers that go on to the next hop. Stateless and safe for use by several threads. */
public final class EndToEndHeaders {

    private static final Set<String> CONNECTION_HEADERS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "content-length",
                    "expect");

    private EndToEndHeaders() {}

    /**
     * Copies all headers but those that concern one connection or frame the body.
     *
     * @param received the headers of a message, not changed
     * @return new headers
     */
    public static HttpHeaders copy(HttpHeaders received) {
        Set<String> named = listNamedByConnection(received);
        HttpHeaders headers = new DefaultHttpHeaders();
        received.forEach(
                header -> {
                    String name = header.getKey().toLowerCase(Locale.ROOT);
                    if (!CONNECTION_HEADERS.contains(name) && !named.contains(name)) {
                        headers.add(header.getKey(), header.getValue());
                    }
                });
        return headers;
    }

    private static Set<String> listNamedByConnection(HttpHeaders received) {
        Set<String> names = new HashSet<>();
        for (String value : received.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                names.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return names;
    }
}
