package org.cardamomthread.daemon.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.core.time.SystemTimeSource;
import org.cardamomthread.daemon.dispatch.EndpointFailureException.Kind;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link AsyncEndpointClient} with endpoints that write a response again, or interim ones
 * before it.
 */
@SuppressWarnings("deprecation")
public class RepeatedRefusalTests {

    private static final String FIRST_ID = "r1";
    private static final String SECOND_ID = "r2";
    private static final int STATUS_REFUSED = 503;
    private static final long COPY_DELAY_MS = 100;
    private static final long TEST_TIMEOUT_S = 20;
    private static final long ATTEMPT_TIMEOUT_MS = 5_000;

    private NioEventLoopGroup eventLoops;
    private EndpointClient client;

    /** When the endpoint writes the refusal of the first request again. */
    private enum Moment {
        WITH_THE_REFUSAL,
        BEFORE_THE_NEXT_REQUEST,
        AFTER_THE_NEXT_REQUEST
    }

    @BeforeClass
    public void start() {
        eventLoops = new NioEventLoopGroup(1);
        client = new AsyncEndpointClient(eventLoops, new SystemTimeSource());
    }

    @AfterClass
    public void stop() {
        client.close();
        eventLoops.shutdownGracefully();
    }

    @DataProvider
    public Object[][] copies() {
        Object[][] copies = new Object[Moment.values().length * 2][];
        int row = 0;
        for (Moment moment : Moment.values()) {
            copies[row++] = new Object[] {moment, refusal(FIRST_ID)};
            copies[row++] = new Object[] {moment, refusal(null)};
        }
        return copies;
    }

    @Test(dataProvider = "copies", timeOut = 30_000)
    public void neverTakesAnEarlierRefusalForTheResponseOfTheNextRequest(Moment moment, String copy)
            throws Exception {
        try (RepeatingEndpoint endpoint = new RepeatingEndpoint(moment, copy)) {
            assertEquals(run(endpoint, FIRST_ID).status(), STATUS_REFUSED);
            if (moment != Moment.AFTER_THE_NEXT_REQUEST) {
                endpoint.awaitDisconnect();
            }
            assertEquals(run(endpoint, SECOND_ID), new Outcome(200, null));
        }
    }

    @Test(timeOut = 60_000)
    public void neverTakesACopyOfAnyEarlierRefusalWhenItArrivesAtAnyMoment() throws Exception {
        Random random = new Random(20);
        try (RacingEndpoint endpoint = new RacingEndpoint(random.nextLong())) {
            for (int i = 0; i < 400; i++) {
                boolean isRefused = i % 2 == 0;
                Outcome outcome = run(endpoint, (isRefused ? "refused-" : "run-") + i);
                if (!isRefused) {
                    assertNotEquals(outcome.status(), STATUS_REFUSED, "request " + i);
                }
            }
        }
    }

    @DataProvider
    public Object[][] interimResponses() {
        return new Object[][] {
            {"HTTP/1.1 100 Continue\r\n\r\n"},
            {"HTTP/1.1 102 Processing\r\n" + idLine(SECOND_ID) + "\r\n"},
            {"HTTP/1.1 103 Early Hints\r\n" + idLine(SECOND_ID) + "link: </a>\r\n\r\n"},
            {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"},
            {"HTTP/1.1 103 Early Hints\r\n" + idLine(FIRST_ID) + "\r\n"},
        };
    }

    @Test(dataProvider = "interimResponses", timeOut = 30_000)
    public void neverTakesAnInterimResponseForTheResponse(String interim) throws Exception {
        try (InterimEndpoint endpoint = new InterimEndpoint(interim)) {
            for (int i = 0; i < 3; i++) {
                assertEquals(run(endpoint, SECOND_ID), new Outcome(200, null));
            }
        }
    }

    private Outcome run(ScriptedEndpoint endpoint, String id) throws Exception {
        RecordingListener recorder = new RecordingListener();
        HttpHeaders headers = new DefaultHttpHeaders().set("x-request-id", id);
        client.start(
                new EndpointRequest(
                        endpoint.getAddress(),
                        HttpMethod.POST,
                        "/v1/run",
                        headers,
                        "{}".getBytes(StandardCharsets.UTF_8),
                        new RequestId(id),
                        ATTEMPT_TIMEOUT_MS,
                        ATTEMPT_TIMEOUT_MS,
                        () -> true,
                        new ResponseAcceptancePolicy("x-request-id", true, true)),
                recorder);
        return recorder.outcome.get(TEST_TIMEOUT_S, TimeUnit.SECONDS);
    }

    private static String refusal(String id) {
        return "HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\n"
                + idLine(id)
                + "content-length: 4\r\n\r\nfull";
    }

    private static String success(String id) {
        return "HTTP/1.1 200 OK\r\n" + idLine(id) + "content-length: 4\r\n\r\nbody";
    }

    private static String idLine(String id) {
        return id == null ? "" : "x-request-id: " + id + "\r\n";
    }

    /** Holds the status of a complete response and null, or 0 and the kind of failure. */
    private record Outcome(int status, Kind kind) {}

    private static final class RecordingListener implements EndpointResponseListener {

        private final CompletableFuture<Outcome> outcome = new CompletableFuture<>();
        private int status;

        @Override
        public void onHead(int receivedStatus, HttpHeaders headers) {
            status = receivedStatus;
        }

        @Override
        public void onBodyPart(byte[] part) {
            // Only the status is compared.
        }

        @Override
        public void onComplete() {
            outcome.complete(new Outcome(status, null));
        }

        @Override
        public void onFailure(EndpointFailureException failure) {
            outcome.complete(new Outcome(0, failure.getKind()));
        }
    }

    /** Accepts connections and answers the requests on each in order. */
    private abstract static class ScriptedEndpoint implements AutoCloseable {

        private final ServerSocket listener =
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final CompletableFuture<Void> disconnect = new CompletableFuture<>();

        ScriptedEndpoint() throws IOException {
            startDaemonThread(this::acceptAll);
        }

        abstract void respond(String requestId, boolean isFirstOfConnection, OutputStream out)
                throws Exception;

        /** Waits until the client has closed a connection. */
        void awaitDisconnect() throws Exception {
            disconnect.get(TEST_TIMEOUT_S, TimeUnit.SECONDS);
        }

        String getAddress() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void acceptAll() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    startDaemonThread(() -> serve(socket));
                }
            } catch (IOException closed) {
                // The test has ended.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                StringBuilder received = new StringBuilder();
                boolean isFirst = true;
                for (int next = socket.getInputStream().read();
                        next >= 0;
                        next = socket.getInputStream().read()) {
                    received.append((char) next);
                    if (received.indexOf("{}") >= 0) {
                        String id = received.toString().split("x-request-id: ")[1].split("\r")[0];
                        received.setLength(0);
                        respond(id, isFirst, socket.getOutputStream());
                        isFirst = false;
                    }
                }
            } catch (Exception closed) {
                // The client has closed the connection.
            }
            disconnect.complete(null);
        }

        static void write(OutputStream out, String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.UTF_8));
        }

        static void startDaemonThread(Runnable action) {
            Thread thread = new Thread(action);
            thread.setDaemon(true);
            thread.start();
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /** Refuses the first request, runs the others, and writes a copy at a given moment. */
    private static final class RepeatingEndpoint extends ScriptedEndpoint {

        private final AtomicInteger requests = new AtomicInteger();
        private final Moment moment;
        private final String copy;

        RepeatingEndpoint(Moment moment, String copy) throws IOException {
            this.moment = moment;
            this.copy = copy;
        }

        @Override
        void respond(String requestId, boolean isFirstOfConnection, OutputStream out)
                throws Exception {
            if (requests.incrementAndGet() > 1) {
                boolean isRepeated =
                        moment == Moment.AFTER_THE_NEXT_REQUEST && !isFirstOfConnection;
                write(out, (isRepeated ? copy : "") + success(requestId));
                return;
            }
            write(out, refusal(requestId) + (moment == Moment.WITH_THE_REFUSAL ? copy : ""));
            if (moment == Moment.BEFORE_THE_NEXT_REQUEST) {
                Thread.sleep(COPY_DELAY_MS);
                write(out, copy);
            }
        }
    }

    /** Writes interim responses before each response. */
    private static final class InterimEndpoint extends ScriptedEndpoint {

        private final String interim;

        InterimEndpoint(String interim) throws IOException {
            this.interim = interim;
        }

        @Override
        void respond(String requestId, boolean isFirstOfConnection, OutputStream out)
                throws Exception {
            write(out, interim + success(requestId));
        }
    }

    /** Refuses every other request and writes the refusal again a little later. */
    private static final class RacingEndpoint extends ScriptedEndpoint {

        private final Random random;

        RacingEndpoint(long seed) throws IOException {
            random = new Random(seed);
        }

        @Override
        void respond(String requestId, boolean isFirstOfConnection, OutputStream out)
                throws Exception {
            if (requestId.startsWith("run-")) {
                Thread.sleep(1);
                write(out, success(requestId));
                return;
            }
            write(out, refusal(requestId));
            long delayNs = random.nextInt(1_500_000);
            boolean hasId = random.nextBoolean();
            startDaemonThread(
                    () -> {
                        try {
                            TimeUnit.NANOSECONDS.sleep(delayNs);
                            write(out, refusal(hasId ? requestId : null));
                        } catch (IOException | InterruptedException closed) {
                            // The client has closed the connection.
                        }
                    });
        }
    }
}
