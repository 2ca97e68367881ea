package org.cardamomthread.daemon.gateway;

import io.opentelemetry.api.trace.Span;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.daemon.execution.JobRunner;
import org.cardamomthread.daemon.gateway.CallClassifier.UnknownTargetException;
import org.cardamomthread.daemon.generated.JobMessage;
import org.cardamomthread.daemon.http.HttpReply;

/** Runs the calls of jobs as those of callers are run. Safe for use by several threads. */
final class GatewayJobExecutor implements JobRunner.JobExecutor {

    private static final RouteId ROUTE = new RouteId("jobs");

    private final ConfigurationSource configuration;
    private final CallStarter starter;
    private final CallTelemetry telemetry;

    GatewayJobExecutor(
            ConfigurationSource configuration, CallStarter starter, CallTelemetry telemetry) {
        this.configuration = configuration;
        this.starter = starter;
        this.telemetry = telemetry;
    }

    @Override
    public CompletableFuture<HttpReply> execute(JobMessage job) {
        try {
            byte[] body = job.getRequest().toByteArray();
            JobExchange exchange = new JobExchange(body);
            CallTarget target =
                    CallClassifier.classifyModel(
                            configuration.getDeclarations(), job.getService(), ROUTE);
            Span span = telemetry.tracing().startServerSpan("job", exchange.getCall().headers());
            CallScope scope =
                    new CallScope(
                            exchange,
                            new RequestId("job:" + job.getJobId() + ":" + job.getAttempt()),
                            new ClientAccountId(job.getAccount()),
                            target.asPatient(),
                            span,
                            telemetry);
            starter.startModel(scope, ModelRequest.parse(body));
            return exchange.getAnswer();
        } catch (UnknownTargetException | InvalidRequestException failure) {
            return CompletableFuture.failedFuture(failure);
        }
    }
}
