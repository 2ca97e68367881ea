package org.cardamomthread.daemon.gateway;

import org.cardamomthread.configuration.declaration.ClientAccount;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.daemon.http.HttpExchange;

/** Answers calls about patient work. Implementations are safe for use by several threads. */
interface JobApi {

    /** Where jobs are created and found. */
    String PATH = "/v1/jobs";

    /**
     * Tells whether a path is about jobs.
     *
     * @param path the path of a call
     * @return true if {@link #handle} answers it
     */
    static boolean handles(String path) {
        return path.equals(PATH) || path.startsWith(PATH + "/");
    }

    /**
     * Answers a call.
     *
     * @param exchange the call
     * @param requestId its identifier
     * @param declarations the declarations in force
     * @param account the client account
     */
    void handle(
            HttpExchange exchange,
            RequestId requestId,
            Declarations declarations,
            ClientAccount account);
}
