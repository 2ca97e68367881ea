package org.cardamomthread.processes.fleet;

/** Creates traffic documents for tests. */
final class TrafficDocuments {

    private static final long DEFAULT_TIMEOUT_MS = 2_500;

    private TrafficDocuments() {}

    /**
     * Returns a document with an idempotent, a non-idempotent and two streaming routes for each
     * gateway.
     */
    static String create(long version, String... keys) {
        return create(version, DEFAULT_TIMEOUT_MS, keys);
    }

    /** Returns the same document with another timeout of all routes. */
    static String create(long version, long timeoutMs, String... keys) {
        String routes =
                String.join(
                        ",",
                        route("again", "idempotent", false, timeoutMs),
                        route("once", "non_idempotent", false, timeoutMs),
                        route("stream/once", "streaming", false, timeoutMs),
                        route("stream/resumed", "streaming", true, timeoutMs));
        return """
               {"version":%d,"routes":[%s],"services":[{"name":"s","healthPath":"/healthz"}],
                "tenants":[{"name":"bars","apiKeys":["%s"]}]}
               """
                .formatted(version, routes, String.join("\",\"", keys));
    }

    private static String route(String name, String kind, boolean isResumable, long timeoutMs) {
        return """
               {"name":"r-%s","hostname":"127.0.0.21","pathPrefix":"/%s/","routeType":"%s",
                "timeoutMs":%d,"service":"s","maxAttempts":2,"resumable":%s},
               {"name":"q-%s","hostname":"127.0.0.22","pathPrefix":"/%s/","routeType":"%s",
                "timeoutMs":%d,"service":"s","maxAttempts":2,"resumable":%s}
               """
                .formatted(
                        name.replace('/', '-'),
                        name,
                        kind,
                        timeoutMs,
                        isResumable,
                        name.replace('/', '-'),
                        name,
                        kind,
                        timeoutMs,
                        isResumable);
    }
}
