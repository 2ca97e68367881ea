package org.cardamomthread.daemon.gateway;

import io.opentelemetry.api.trace.Span;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.daemon.execution.JobRunner;
import org.cardamomthread.daemon.gateway.CallTargetResolver.UnknownTargetException;
import org.cardamomthread.daemon.generated.JobMessage;
import org.cardamomthread.daemon.http.ServerResponse;

/** Runs jobs as model calls through the gateway, with patient priority. Thread-safe. */
final class GatewayJobExecutor implements JobRunner.JobCallExecutor {

    private static final RouteId JOBS_ROUTE = new RouteId("jobs");

    private final DeclarationsProvider declarationsProvider;
    private final CallStarter starter;
    private final CallTelemetry telemetry;

    GatewayJobExecutor(
            DeclarationsProvider declarationsProvider,
            CallStarter starter,
            CallTelemetry telemetry) {
        this.declarationsProvider = declarationsProvider;
        this.starter = starter;
        this.telemetry = telemetry;
    }

    @Override
    public CompletableFuture<ServerResponse> execute(JobMessage job) {
        try {
            byte[] body = job.getRequest().toByteArray();
            JobExchange exchange = new JobExchange(body);
            CallTarget target =
                    CallTargetResolver.resolveModelCall(
                            declarationsProvider.getDeclarations(), job.getService(), JOBS_ROUTE);
            Span span = telemetry.tracing().startServerSpan("job", exchange.getRequest().headers());
            CallContext context =
                    new CallContext(
                            exchange,
                            new RequestId("job:" + job.getJobId() + ":" + job.getAttempt()),
                            new ClientAccountId(job.getAccount()),
                            target.withPatientPriority(),
                            span,
                            telemetry);
            starter.startModelCall(context, ModelRequest.parse(body));
            return exchange.getResponse();
        } catch (UnknownTargetException | InvalidRequestException failure) {
            return CompletableFuture.failedFuture(failure);
        }
    }
}
