package review;

/** Creates the operator's documents. */
final class Documents {

    static final String HOST = "ficu95.example";
    static final String KEY = "i9n73hh2b9wu3fexd9dn";

    private Documents() {}

    /** Returns a route of service {@code app}. */
    static String route(String name, String prefix, String type, int timeoutMs, boolean isPublic) {
        return String.format(
                "{\"name\":\"%s\",\"hostname\":\"%s\",\"pathPrefix\":\"%s\",\"routeType\":\"%s\","
                        + "\"timeoutMs\":%d,\"targetLatencyMs\":150,\"priority\":2,"
                        + "\"service\":\"app\",\"maxAttempts\":2,\"public\":%s,\"sticky\":false,"
                        + "\"resumable\":false}",
                name, HOST, prefix, type, timeoutMs, isPublic);
    }

    /** Returns a document with the given routes, one service and one tenant without a quota. */
    static String document(long version, String... routes) {
        return String.format(
                "{\"version\":%d,\"routes\":[%s],\"services\":[{\"name\":\"app\","
                        + "\"healthPath\":\"/healthz\",\"maxConnections\":360,\"protocol\":\"h1\","
                        + "\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}],"
                        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                        + "\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\"%s\"],"
                        + "\"priority\":1}]}",
                version, String.join(",", routes), KEY);
    }
}
