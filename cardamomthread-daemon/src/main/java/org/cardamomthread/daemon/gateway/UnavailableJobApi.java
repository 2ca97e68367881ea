package org.cardamomthread.daemon.gateway;

import org.cardamomthread.configuration.declaration.ClientAccount;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.http.Problem;

/**
 * Refuses patient work.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class UnavailableJobApi implements JobApi {

    @Override
    public void handle(
            HttpExchange exchange,
            RequestId requestId,
            Declarations declarations,
            ClientAccount account) {
        exchange.respond(createProblem().toReply(requestId.value()));
    }

    private static Problem createProblem() {
        return Problem.createNotRun(
                503,
                "jobs-unavailable",
                "Patient work is not served",
                "this version takes no patient work: send the call to its service");
    }
}
