package org.cardamomthread.daemon.gateway;

import org.cardamomthread.configuration.declaration.ClientAccount;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.http.Problem;

/**
 * Refuses what needs the replicated log, for deployments whose settings name no voters.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class UnavailableExecution implements OnceOnlyStarter, JobApi {

    @Override
    public void start(CallScope scope, String endpointTarget) {
        scope.refuse(createProblem());
    }

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
                "no-voters",
                "No replicated log",
                "this deployment keeps no replicated log: name voters under bootstrapVoters in the"
                        + " settings");
    }
}
