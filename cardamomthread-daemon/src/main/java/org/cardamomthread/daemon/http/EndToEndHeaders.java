package org.cardamomthread.daemon.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/** Copies the headers that are to be forwarded to the next hop. Stateless and thread-safe. */
public final class EndToEndHeaders {

    private static final Set<String> HOP_BY_HOP_HEADERS =
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
     * Copies all headers except those that apply to a single connection or define the length of the
     * body.
     *
     * @param received the headers of a received message; not modified
     * @return the copied headers
     */
    public static HttpHeaders copy(HttpHeaders received) {
        Set<String> connectionOptions = findConnectionOptions(received);
        HttpHeaders headers = new DefaultHttpHeaders();
        received.forEach(
                header -> {
                    String name = header.getKey().toLowerCase(Locale.ROOT);
                    if (!HOP_BY_HOP_HEADERS.contains(name) && !connectionOptions.contains(name)) {
                        headers.add(header.getKey(), header.getValue());
                    }
                });
        return headers;
    }

    private static Set<String> findConnectionOptions(HttpHeaders received) {
        Set<String> names = new HashSet<>();
        for (String value : received.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                names.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return names;
    }
}
