import java.util.ArrayList;
import java.util.List;

/** Creates configs as the operator sends them. */
final class Documents {

    static final String HOST = "shop.example";
    static final String KEY = "key-of-bars";
    static final String TENANT = "bars";

    private Documents() {}

    /** Returns a config with a route of each kind to the service app, and more routes. */
    static byte[] create(long version, int moreRoutes) {
        List<String> routes = new ArrayList<>();
        routes.add(route("again", "idempotent", false));
        routes.add(route("once", "non_idempotent", false));
        routes.add(route("stream", "streaming", false));
        routes.add(route("resumed", "streaming", true));
        routes.add(route("short", "idempotent", false).replace("15000", "1500"));
        for (int i = 0; i < moreRoutes; i++) {
            routes.add(route("more" + i, "idempotent", false));
        }
        String text =
                "{\"version\":%d,\"routes\":[%s],\"services\":[{\"name\":\"app\",\"healthPath\":\"/healthz\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"bars\",\"apiKeys\":[\"key-of-bars\"],\"priority\":1}]}"
                        .formatted(version, String.join(",", routes));
        return text.getBytes();
    }

    private static String route(String name, String kind, boolean isResumable) {
        return "{\"name\":\"r-%s\",\"hostname\":\"%s\",\"pathPrefix\":\"/%s/\",\"routeType\":\"%s\",\"timeoutMs\":15000,\"targetLatencyMs\":800,\"priority\":1,\"service\":\"app\",\"maxAttempts\":2,\"public\":false,\"sticky\":false,\"resumable\":%s,\"itlTargetMs\":300}"
                .formatted(name, HOST, name, kind, isResumable);
    }
}
