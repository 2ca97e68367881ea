package org.cardamomthread.daemon.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletionException;
import org.cardamomthread.configuration.declaration.ClientAccount;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.core.id.Identifiers;
import org.cardamomthread.core.id.JobId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.execution.JobClient;
import org.cardamomthread.daemon.gateway.CallTargetResolver.UnknownTargetException;
import org.cardamomthread.daemon.generated.JobMessage;
import org.cardamomthread.daemon.generated.JobQueryResult;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.http.ProblemDetail;
import org.cardamomthread.daemon.http.ServerResponse;
import org.cardamomthread.execution.ExecutionStatus;
import org.cardamomthread.execution.job.JobCommand;
import org.cardamomthread.replication.ReplicationException;

/**
 * Creates jobs in the replicated log and returns their state.
 *
 * <p>A job is acknowledged only once a majority of voters has synced it to storage. Thread-safe.
 */
final class ReplicatedJobApi implements JobApi {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final RouteId JOBS_ROUTE = new RouteId("jobs");
    private static final int ACCEPTED = 202;
    private static final int OK = 200;

    private final JobClient jobs;
    private final TimeSource timeSource;

    ReplicatedJobApi(JobClient jobs, TimeSource timeSource) {
        this.jobs = jobs;
        this.timeSource = timeSource;
    }

    @Override
    public void handle(
            HttpExchange exchange,
            RequestId requestId,
            Declarations declarations,
            ClientAccount account) {
        HttpMethod method = exchange.getRequest().method();
        String path = exchange.getRequest().path();
        try {
            if (method.equals(HttpMethod.POST) && path.equals(JOBS_PATH)) {
                createJob(exchange, requestId, declarations, account);
            } else if (method.equals(HttpMethod.GET) && path.length() > JOBS_PATH.length() + 1) {
                getJob(exchange, requestId, account, path.substring(JOBS_PATH.length() + 1));
            } else {
                throw new InvalidRequestException(
                        "use POST /v1/jobs or GET /v1/jobs/{id} instead of " + method);
            }
        } catch (InvalidRequestException invalid) {
            ProblemDetail problem =
                    ProblemDetail.createNotRun(
                            400, "invalid-request", "Invalid request", invalid.getMessage());
            exchange.respond(problem.toResponse(requestId.value()));
        } catch (UnknownTargetException unknown) {
            exchange.respond(unknown.getProblem().toResponse(requestId.value()));
        }
    }

    private void createJob(
            HttpExchange exchange,
            RequestId requestId,
            Declarations declarations,
            ClientAccount account)
            throws InvalidRequestException, UnknownTargetException {
        JsonNode document = parse(exchange.getRequest().body());
        CallTarget target =
                CallTargetResolver.resolveModelCall(
                        declarations, document.path("service").asText(), JOBS_ROUTE);
        byte[] request = createModelRequestBody(document, target);
        JobId id = createJobId(exchange, account, request);
        JobCommand command =
                new JobCommand.Accept(
                        id,
                        account.id(),
                        target.service(),
                        ByteString.copyFrom(request),
                        parseDeadlineMs(document),
                        timeSource.millis());
        jobs.propose(command)
                .whenComplete(
                        (outcome, failure) ->
                                exchange.respond(
                                        failure == null
                                                ? createAcceptedResponse(id, requestId)
                                                : createNotAcceptedResponse(
                                                        id, requestId, failure)));
    }

    /**
     * Derives the identifier from the idempotency key, if any, and the request, so that a retry
     * refers to the same job and no other request gets its result.
     */
    private static JobId createJobId(HttpExchange exchange, ClientAccount account, byte[] request) {
        String content = new String(request, StandardCharsets.UTF_8);
        String id =
                exchange.getRequest()
                        .getHeader("idempotency-key")
                        .map(key -> account.id() + "\n" + key + "\n" + content)
                        .map(name -> UUID.nameUUIDFromBytes(name.getBytes(StandardCharsets.UTF_8)))
                        .orElseGet(UUID::randomUUID)
                        .toString();
        return new JobId(id);
    }

    private void getJob(
            HttpExchange exchange, RequestId requestId, ClientAccount account, String id)
            throws InvalidRequestException {
        if (!Identifiers.isValid(id)) {
            throw new InvalidRequestException("the path must end in the id of a job");
        }
        jobs.findJob(new JobId(id))
                .whenComplete(
                        (found, failure) ->
                                exchange.respond(
                                        failure == null
                                                ? createStateResponse(found, account, requestId)
                                                : createUnreachableResponse(requestId)));
    }

    private static byte[] createModelRequestBody(JsonNode document, CallTarget target)
            throws InvalidRequestException {
        if (!(document.path("request") instanceof ObjectNode request)) {
            throw new InvalidRequestException(
                    "member \"request\" must be the body of a chat completion");
        }
        ObjectNode completion = request.deepCopy();
        completion.put("model", target.service().value());
        completion.put("stream", false);
        byte[] body = completion.toString().getBytes(StandardCharsets.UTF_8);
        if (body.length > JobCommand.MAX_REQUEST_BYTES) {
            throw new InvalidRequestException(
                    "member \"request\" must have at most "
                            + JobCommand.MAX_REQUEST_BYTES
                            + " bytes");
        }
        return body;
    }

    private static long parseDeadlineMs(JsonNode document) throws InvalidRequestException {
        try {
            return Instant.parse(document.path("deadline").asText()).toEpochMilli();
        } catch (DateTimeParseException failure) {
            throw new InvalidRequestException(
                    "member \"deadline\" must be an RFC 3339 time such as 2030-01-31T18:00:00Z");
        }
    }

    private static JsonNode parse(byte[] body) throws InvalidRequestException {
        try {
            return MAPPER.readTree(body);
        } catch (IOException failure) {
            throw new InvalidRequestException("the body must be one JSON object");
        }
    }

    private static ServerResponse createAcceptedResponse(JobId id, RequestId requestId) {
        ObjectNode resource = MAPPER.createObjectNode();
        resource.put("id", id.value());
        resource.put("state", "queued");
        return createJsonResponse(ACCEPTED, resource, requestId)
                .setHeader("location", JOBS_PATH + "/" + id);
    }

    private static ServerResponse createStateResponse(
            JobQueryResult found, ClientAccount account, RequestId requestId) {
        if (found.getJobsCount() == 0
                || !found.getJobs(0).getAccount().equals(account.id().value())) {
            return ProblemDetail.createNotRun(
                            404,
                            "unknown-job",
                            "Unknown job",
                            "the client account has no such job, or the job ended too long ago")
                    .toResponse(requestId.value());
        }
        JobMessage job = found.getJobs(0);
        ObjectNode resource = MAPPER.createObjectNode();
        resource.put("id", job.getJobId());
        resource.put("state", job.getState().toLowerCase(Locale.ROOT));
        resource.put("attempts", job.getAttempt());
        resource.put("deadline", Instant.ofEpochMilli(job.getDeadlineMs()).toString());
        if (job.getStatus() != 0) {
            resource.put("status", job.getStatus());
            resource.put("result", job.getResult().toStringUtf8());
        }
        if (!job.getReason().isEmpty()) {
            resource.put("reason", job.getReason());
        }
        return createJsonResponse(OK, resource, requestId);
    }

    private static ServerResponse createNotAcceptedResponse(
            JobId id, RequestId requestId, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean isNotAppended =
                cause instanceof ReplicationException replication
                        && replication.isGuaranteedNotAppended();
        ProblemDetail problem =
                new ProblemDetail(
                        503,
                        isNotAppended ? "job-not-accepted" : "job-unconfirmed",
                        "Job not confirmed",
                        "a majority of voters did not confirm the job in time: retry with the same"
                                + " Idempotency-Key, or request "
                                + JOBS_PATH
                                + "/"
                                + id,
                        isNotAppended ? ExecutionStatus.NOT_RUN : ExecutionStatus.UNKNOWN,
                        OptionalLong.of(1));
        return problem.toResponse(requestId.value()).setHeader("location", JOBS_PATH + "/" + id);
    }

    private static ServerResponse createUnreachableResponse(RequestId requestId) {
        return ProblemDetail.createNotRun(
                        503,
                        "jobs-unreachable",
                        "Jobs unreachable",
                        "a majority of voters did not respond: retry later; a job that was"
                                + " accepted is kept")
                .withRetryAfterS(1)
                .toResponse(requestId.value());
    }

    private static ServerResponse createJsonResponse(
            int status, ObjectNode resource, RequestId requestId) {
        return ServerResponse.createJson(
                        status, resource.toString().getBytes(StandardCharsets.UTF_8))
                .setHeader("x-request-id", requestId.value());
    }
}
