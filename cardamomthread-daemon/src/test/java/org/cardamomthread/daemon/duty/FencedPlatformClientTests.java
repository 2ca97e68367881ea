package org.cardamomthread.daemon.duty;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dialect.PlatformCall;
import org.cardamomthread.daemon.testing.RawEndpoint;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link FencedPlatformClient}. */
public class FencedPlatformClientTests {

    private static final PlatformCall CALL =
            new PlatformCall("/scale", new DefaultHttpHeaders(), new byte[] {1, 2, 3});

    private static final String ACCEPTED = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    private static final String REJECTED =
            "HTTP/1.1 429 Too Many Requests\r\ncontent-length: 0\r\n\r\n";

    private static final int READ_TIMEOUT_MS = 1_000;

    /** Bytes that the buffers of both sockets hold beside those that were read. */
    private static final long MAX_SENT_BYTES = 16L << 20;

    private EventLoopGroup eventLoops;
    private ServerSocket platform;
    private ManualTimeSource time;
    private FencedPlatformClient client;

    @BeforeMethod
    @SuppressWarnings("deprecation")
    public void start() throws IOException {
        eventLoops = new NioEventLoopGroup(1);
        platform = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        time = new ManualTimeSource();
        client = createClient(time);
    }

    @AfterMethod
    public void stop() throws IOException {
        client.close();
        platform.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    public void returnsStatusCode() throws Exception {
        CompletableFuture<Integer> status = client.send(CALL);
        try (Socket socket = platform.accept()) {
            String response = "HTTP/1.1 409 Conflict\r\ncontent-length: 0\r\n\r\n";
            socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            assertEquals((int) status.get(5, TimeUnit.SECONDS), 409);
        }
    }

    @Test
    public void resetsConnectionOnTimeout() throws Exception {
        CompletableFuture<Integer> status = client.send(CALL);
        try (Socket socket = platform.accept()) {
            expectThrows(ExecutionException.class, () -> status.get(10, TimeUnit.SECONDS));
            TimeUnit.MILLISECONDS.sleep(200);
            expectThrows(IOException.class, () -> socket.getInputStream().readAllBytes());
        }
    }

    @DataProvider
    public Object[][] statusLinesOfNoResponse() {
        return new Object[][] {
            {"HTTP/1.1 000 Unknown"}, {"HTTP/1.1 0200 OK"}, {"HTTP/1.1 199 Unknown"},
            {"HTTP/1.1 103 Early Hints"}, {"HTTP/1.1 999 Unknown"}, {"ICY/1.0 200 OK"},
        };
    }

    /** Guards against a call that counts as accepted though its response is none. */
    @Test(dataProvider = "statusLinesOfNoResponse")
    public void failsACallWithoutAValidFinalStatus(String line) throws Exception {
        CompletableFuture<Integer> status = client.send(CALL);
        try (Socket socket = platform.accept()) {
            String response = line + "\r\ncontent-length: 0\r\n\r\n";
            socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            expectThrows(ExecutionException.class, () -> status.get(5, TimeUnit.SECONDS));
        }
    }

    @DataProvider
    public Object[][] endlessBytes() {
        return new Object[][] {
            {"a body", "HTTP/1.1 200 OK\r\n\r\n", "x"},
            {"chunks", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
            {"header lines", "HTTP/1.1 200 OK\r\n", "a: b\r\n"},
            {"no line end", "", "x"},
        };
    }

    /** Guards against a platform whose endless response fills the memory of the leader. */
    @Test(dataProvider = "endlessBytes", timeOut = 30_000)
    public void disconnectsAPlatformThatSendsBytesWithoutEnd(
            String name, String start, String repeated) throws Exception {
        CompletableFuture<Integer> status = client.send(CALL);
        try (Socket socket = platform.accept()) {
            socket.getOutputStream().write(start.getBytes(StandardCharsets.US_ASCII));
            byte[] part = repeated.repeat(512).getBytes(StandardCharsets.US_ASCII);
            long sentBytes = 0;
            try {
                while (sentBytes <= MAX_SENT_BYTES) {
                    socket.getOutputStream().write(part);
                    sentBytes += part.length;
                }
            } catch (IOException disconnected) {
                assertTrue(sentBytes <= MAX_SENT_BYTES);
            }
            assertTrue(sentBytes <= MAX_SENT_BYTES, sentBytes + " bytes read: " + name);
            expectThrows(ExecutionException.class, () -> status.get(10, TimeUnit.SECONDS));
        }
    }

    @DataProvider
    public Object[][] lateSecondResponses() {
        return new Object[][] {
            {"whole", ACCEPTED}, {"cut inside the reason phrase", ACCEPTED.substring(0, 13)},
        };
    }

    /** Guards against a call that counts as accepted because an earlier one was accepted twice. */
    @Test(dataProvider = "lateSecondResponses")
    public void neverTakesALateSecondResponseForTheOneToTheNextCall(String name, String late)
            throws Exception {
        AtomicInteger calls = new AtomicInteger();
        RawEndpoint.Script script =
                (connection, id) -> {
                    boolean isFirstCall = calls.incrementAndGet() == 1;
                    boolean isKept = connection.requests() > 1;
                    connection.write(isFirstCall ? ACCEPTED : (isKept ? late : "") + REJECTED);
                };
        try (RawEndpoint repeating = new RawEndpoint(script);
                FencedPlatformClient caller =
                        new FencedPlatformClient(repeating.address(), eventLoops, time)) {
            assertEquals((int) caller.send(CALL).get(5, TimeUnit.SECONDS), 200);
            assertEquals((int) caller.send(CALL).get(5, TimeUnit.SECONDS), 429);
        }
    }

    @Test
    public void neverWritesCallOfProcessThatStoodStillWhileConnecting() throws Exception {
        FencedPlatformClient frozen = createClient(new FreezingTimeSource(time));
        CompletableFuture<Integer> status = frozen.send(CALL);
        try (Socket socket = platform.accept()) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            assertTrue(readByte(socket) < 0);
            expectThrows(ExecutionException.class, () -> status.get(10, TimeUnit.SECONDS));
        } finally {
            frozen.close();
        }
    }

    private FencedPlatformClient createClient(TimeSource timeSource) {
        return new FencedPlatformClient(
                "127.0.0.1:" + platform.getLocalPort(), eventLoops, timeSource);
    }

    /** Returns the first byte received, or -1 if the connection ends or stays silent. */
    private static int readByte(Socket socket) {
        try {
            return socket.getInputStream().read();
        } catch (IOException e) {
            return -1;
        }
    }

    /** Advances by more than the maximum delay with each reading. */
    private static final class FreezingTimeSource implements TimeSource {

        private final ManualTimeSource time;

        FreezingTimeSource(ManualTimeSource time) {
            this.time = time;
        }

        @Override
        public long monotonicMs() {
            time.advanceMs(FencedPlatformClient.MAX_WRITE_DELAY_MS + 1);
            return time.monotonicMs();
        }

        @Override
        public Instant instant() {
            return time.instant();
        }
    }
}
