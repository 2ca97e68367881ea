package org.cardamomthread.daemon.gateway;

import org.cardamomthread.configuration.declaration.ClientAccount;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.daemon.http.HttpExchange;

/** Handles requests to create and query jobs. Implementations must be thread-safe. */
interface JobApi {

    /** The path of the job collection; a job's path is below it. */
    String JOBS_PATH = "/v1/jobs";

    /**
     * Returns whether requests for a path are to be passed to {@link #handle}.
     *
     * @param path the request path
     * @return true for the job collection and every path below it
     */
    static boolean handles(String path) {
        return path.equals(JOBS_PATH) || path.startsWith(JOBS_PATH + "/");
    }

    /**
     * Handles a request and responds to it, possibly after this method returns.
     *
     * @param exchange the request and the means to respond to it
     * @param requestId the identifier of the request
     * @param declarations the current declarations
     * @param account the authenticated client account
     */
    void handle(
            HttpExchange exchange,
            RequestId requestId,
            Declarations declarations,
            ClientAccount account);
}
