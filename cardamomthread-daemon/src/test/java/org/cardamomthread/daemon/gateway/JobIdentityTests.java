package org.cardamomthread.daemon.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.configuration.declaration.ClientAccount;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.configuration.declaration.DeclarationsLoader;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.JobId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.control.ProposalClient;
import org.cardamomthread.daemon.execution.ExecutionReplica;
import org.cardamomthread.daemon.execution.JobClient;
import org.cardamomthread.daemon.testing.RecordedExchange;
import org.cardamomthread.execution.job.JobCommand;
import org.cardamomthread.execution.job.JobStateMachine;
import org.cardamomthread.replication.GroupId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which requests with an idempotency key refer to the same job, and so to its result. */
public class JobIdentityTests {

    private static final Path DECLARATIONS = Path.of("..", "examples", "tour", "declarations");
    private static final ClientAccountId ACCOUNT = new ClientAccountId("bars");
    private static final String FIRST = createBody("2030-01-31T18:00:00Z", "Two bags of ice?");

    private Declarations declarations;
    private ClientAccount account;
    private JobStateMachine jobs;
    private ReplicatedJobApi api;

    @BeforeMethod
    public void start() throws Exception {
        declarations = new DeclarationsLoader().load(DECLARATIONS);
        account = declarations.clientAccounts().get(ACCOUNT);
        jobs = new JobStateMachine(Duration.ofDays(1).toMillis());
        ExecutionReplica replica = new ExecutionReplica(Map.of(ExecutionReplica.JOBS, jobs));
        api =
                new ReplicatedJobApi(
                        new JobClient(new LocalProposalClient(replica)), new ManualTimeSource());
    }

    @DataProvider
    public Object[][] secondRequests() {
        return new Object[][] {
            {"the same", "k1", FIRST, true},
            {
                "another deadline",
                "k1",
                createBody("2031-01-31T18:00:00Z", "Two bags of ice?"),
                true
            },
            {"another request", "k1", createBody("2030-01-31T18:00:00Z", "No ice, thanks"), false},
            {"another key", "k2", FIRST, false},
        };
    }

    @Test(dataProvider = "secondRequests")
    public void refersToAnAcceptedJobOnlyForTheSameRequest(
            String name, String key, String body, boolean isSameJob) {
        String first = accept("k1", FIRST);
        assertEquals(accept(key, body).equals(first), isSameJob, name);
        assertEquals(jobs.unfinishedCount(), isSameJob ? 1 : 2, name);
    }

    @Test
    public void refersToAFinishedJobForTheSameRequest() {
        String first = accept("k1", FIRST);
        JobId id = new JobId(first.substring(first.lastIndexOf('/') + 1));
        apply(new JobCommand.Assign(id, new NodeId("node-a"), 1, 10_000, 0));
        apply(new JobCommand.Fail(id, 1, "as planned", 0));
        assertEquals(accept("k1", FIRST), first);
        assertEquals(jobs.unfinishedCount(), 0);
    }

    private void apply(JobCommand command) {
        jobs.apply(1, command.toBytes());
    }

    /** Returns the path of the accepted job. */
    private String accept(String key, String body) {
        RecordedExchange exchange =
                new RecordedExchange(
                        JobApi.JOBS_PATH,
                        body,
                        new DefaultHttpHeaders().set("idempotency-key", key));
        api.handle(exchange, new RequestId("r1"), declarations, account);
        assertEquals(exchange.getStatus(), 202, exchange.getBody());
        String path = exchange.getResponseHeader("location");
        assertTrue(path.startsWith(JobApi.JOBS_PATH), path);
        return path;
    }

    private static String createBody(String deadline, String content) {
        return String.format(
                "{\"service\":\"chat\",\"deadline\":\"%s\",\"request\":{\"messages\":"
                        + "[{\"role\":\"user\",\"content\":\"%s\"}]}}",
                deadline, content);
    }

    /** Applies commands to a replica at once. */
    private record LocalProposalClient(ExecutionReplica replica) implements ProposalClient {

        @Override
        public CompletableFuture<byte[]> propose(GroupId group, byte[] command, Duration timeout) {
            return CompletableFuture.completedFuture(replica.apply(1, command));
        }

        @Override
        public CompletableFuture<byte[]> query(GroupId group, byte[] query, Duration timeout) {
            throw new UnsupportedOperationException("jobs are only accepted");
        }
    }
}
