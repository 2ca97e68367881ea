package org.cardamomthread.daemon.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a response of which a part could not be written, such as for want of memory, is
 * followed by nothing: a client would take what follows for the rest of it.
 */
public class FailedWriteTests {

    private static final HttpLimits LIMITS = new HttpLimits(512, 1_000, 300, 60_000, 100);
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private final List<String> handledPaths = new ArrayList<>();

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {
            {"/whole", 0}, {"/stream", 0}, {"/stream", 1}, {"/stream", 2}, {"/stream", 3},
        };
    }

    @Test(dataProvider = "failures")
    public void sendsNothingAfterAPartThatWasNotWritten(String path, int failedWrite) {
        handledPaths.clear();
        ClientGuard guard = ClientGuard.createDefault();
        LimitedServerCodec codec = new LimitedServerCodec(new HttpDecoderConfig(), guard.limits());
        EmbeddedChannel channel =
                new EmbeddedChannel(
                        codec,
                        new FailingWriteHandler(failedWrite),
                        new HttpConnectionHandler(
                                "callers",
                                LIMITS,
                                guard,
                                codec.decoder(),
                                this::handle,
                                new ServerState()));
        channel.writeInbound(
                channel.alloc()
                        .buffer()
                        .writeBytes(bytes("GET " + path + " HTTP/1.1\r\n\r\n"))
                        .writeBytes(bytes("GET /next HTTP/1.1\r\n\r\n")));
        channel.runPendingTasks();
        String sent = readSent(channel);
        assertFalse(sent.contains("next"), sent);
        assertFalse(sent.endsWith(LAST_CHUNK), sent);
        assertEquals(handledPaths, List.of(path));
        assertFalse(channel.isActive());
    }

    private void handle(HttpExchange exchange) {
        String path = exchange.getRequest().path();
        handledPaths.add(path);
        if (!path.equals("/stream")) {
            exchange.respond(ServerResponse.createText(200, "response to " + path));
            return;
        }
        ResponseStream stream = exchange.startStream(200, new DefaultHttpHeaders());
        stream.write(bytes("first part"));
        stream.write(bytes("second part"));
        stream.finish();
    }

    private static String readSent(EmbeddedChannel channel) {
        StringBuilder sent = new StringBuilder();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            sent.append(part.toString(StandardCharsets.UTF_8));
            part.release();
        }
        return sent.toString();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Fails one write, as an encoder does that gets no memory. */
    private static final class FailingWriteHandler extends ChannelOutboundHandlerAdapter {

        private final int failedWrite;
        private int writes;

        FailingWriteHandler(int failedWrite) {
            this.failedWrite = failedWrite;
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (writes++ == failedWrite) {
                ReferenceCountUtil.release(message);
                promise.setFailure(new OutOfMemoryError("no direct memory, as planned by a test"));
                return;
            }
            context.write(message, promise);
        }
    }
}
