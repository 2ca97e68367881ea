package org.cardamomthread.processes.fleet;

/** Creates traffic documents for tests. */
final class TrafficDocuments {

    private TrafficDocuments() {}

    /**
     * Returns a document with an idempotent, a non-idempotent and two streaming routes for each
     * gateway.
     */
    static String create(long version, String... keys) {
        String routes =
                String.join(
                        ",",
                        route("again", "idempotent", false),
                        route("once", "non_idempotent", false),
                        route("stream/once", "streaming", false),
                        route("stream/resumed", "streaming", true));
        return """
               {"version":%d,"routes":[%s],"services":[{"name":"s","healthPath":"/healthz"}],
                "tenants":[{"name":"bars","apiKeys":["%s"]}]}
               """
                .formatted(version, routes, String.join("\",\"", keys));
    }

    private static String route(String name, String kind, boolean isResumable) {
        return """
               {"name":"r-%s","hostname":"127.0.0.21","pathPrefix":"/%s/","routeType":"%s",
                "timeoutMs":2500,"service":"s","maxAttempts":2,"resumable":%s},
               {"name":"q-%s","hostname":"127.0.0.22","pathPrefix":"/%s/","routeType":"%s",
                "timeoutMs":2500,"service":"s","maxAttempts":2,"resumable":%s}
               """
                .formatted(
                        name.replace('/', '-'),
                        name,
                        kind,
                        isResumable,
                        name.replace('/', '-'),
                        name,
                        kind,
                        isResumable);
    }
}
