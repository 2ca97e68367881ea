package org.cardamomthread.daemon.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a stream that has ended affects neither itself nor the next response any more. */
public class EndedStreamTests {

    private static final HttpLimits LIMITS = new HttpLimits(512, 1_000, 300, 60_000, 100);
    private static final int READ_TIMEOUT_MS = 10_000;
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String REQUEST = "GET /x HTTP/1.1\r\n\r\n";

    private EventLoopGroup eventLoops;
    private HttpServer server;
    private final BlockingQueue<ResponseStream> streams = new LinkedBlockingQueue<>();

    @BeforeMethod
    public void start() throws ListenerBindException {
        streams.clear();
        eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        server =
                new HttpServer(
                        "callers",
                        eventLoops,
                        LIMITS,
                        exchange ->
                                streams.add(exchange.startStream(200, new DefaultHttpHeaders())));
        server.listen(new InetSocketAddress("127.0.0.1", 0));
    }

    @AfterMethod
    public void stop() {
        server.close();
        eventLoops.shutdownGracefully();
    }

    @DataProvider
    public Object[][] lateCalls() {
        Consumer<ResponseStream> write = stream -> stream.write(bytes("late"));
        Consumer<ResponseStream> finish = ResponseStream::finish;
        Consumer<ResponseStream> abort = ResponseStream::abort;
        return new Object[][] {
            {"write", write, true},
            {"write", write, false},
            {"finish", finish, true},
            {"finish", finish, false},
            {"abort", abort, true},
            {"abort", abort, false},
        };
    }

    @Test(dataProvider = "lateCalls")
    public void leavesTheNextResponseAlone(
            String name, Consumer<ResponseStream> lateCall, boolean isOnEventLoop)
            throws Exception {
        try (Socket socket = open()) {
            socket.getOutputStream().write(bytes(REQUEST + REQUEST));
            ResponseStream first = takeStream();
            first.write(bytes("one"));
            first.finish();
            ResponseStream second = takeStream();
            second.write(bytes("two, part 1;"));
            run(() -> lateCall.accept(first), isOnEventLoop);
            second.write(bytes("two, part 2"));
            second.finish();
            readUntil(socket.getInputStream(), "one\r\n" + LAST_CHUNK);
            String response = readUntil(socket.getInputStream(), LAST_CHUNK);
            assertTrue(response.contains("two, part 1;\r\n"), response);
            assertTrue(response.contains("two, part 2\r\n"), response);
            assertFalse(response.contains("late"), response);
            assertEquals(first.getPendingBytes(), 0);
        }
    }

    @DataProvider
    public Object[][] threads() {
        return new Object[][] {{true}, {false}};
    }

    @Test(dataProvider = "threads")
    public void staysBrokenOffOnceAborted(boolean isOnEventLoop) throws Exception {
        try (Socket socket = open()) {
            socket.getOutputStream().write(bytes(REQUEST));
            ResponseStream stream = takeStream();
            stream.write(bytes("one"));
            run(
                    () -> {
                        stream.abort();
                        stream.write(bytes("late"));
                        stream.finish();
                    },
                    isOnEventLoop);
            String response =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertFalse(response.endsWith(LAST_CHUNK), response);
            assertFalse(response.contains("late"), response);
        }
    }

    private void run(Runnable action, boolean isOnEventLoop) throws Exception {
        if (isOnEventLoop) {
            eventLoops.submit(action).get(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } else {
            action.run();
        }
    }

    private ResponseStream takeStream() throws InterruptedException {
        return streams.poll(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private Socket open() throws IOException {
        Socket socket = new Socket("127.0.0.1", server.getAddress().getPort());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    /** Reads up to and including a text, or to the end of the connection. */
    private static String readUntil(InputStream input, String end) throws IOException {
        StringBuilder received = new StringBuilder();
        while (received.indexOf(end) < 0) {
            int next = input.read();
            if (next < 0) {
                return received + " and the end of the connection";
            }
            received.append((char) next);
        }
        return received.toString();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
