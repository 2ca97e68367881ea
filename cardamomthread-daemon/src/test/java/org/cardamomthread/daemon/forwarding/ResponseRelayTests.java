package org.cardamomthread.daemon.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.cardamomthread.configuration.traffic.RequestKind;
import org.cardamomthread.daemon.testing.RecordedExchange;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests after which event {@link ResponseRelay} lets another attempt resume a stream. */
public class ResponseRelayTests {

    private static final HttpHeaders HEADERS =
            new DefaultHttpHeaders().set("content-type", "text/event-stream");

    private RecordedExchange exchange;
    private ResponseRelay relay;

    @BeforeMethod
    public void createRelay() {
        exchange = new RecordedExchange("/a/x", "");
        relay = new ResponseRelay(exchange, RequestKind.RESUMABLE_STREAM, new HeldBytesBudget());
        relay.beginSuccess(200, HEADERS);
    }

    @Test
    public void resumesAfterTheLastEventThatTheClientHas() {
        assertTrue(stream("id: 1\n\n"));
        assertFalse(stream("id: 2\n\nid: 2\n\n"));
        relay.discardUndelivered();
        assertEquals(exchange.getBody(), "id: 1\n\n");
        assertEquals(relay.lastEventId(), Optional.of("1"));
        assertTrue(stream("id: 2\n\n"));
    }

    @Test
    public void acceptsARunFromItsStartWhenTheClientHasNothing() {
        assertFalse(stream("id: 1\n\nid: 1\n\n"));
        relay.discardUndelivered();
        assertTrue(stream("id: 1\n\n"));
        assertTrue(relay.mayResume());
    }

    @Test
    public void neverResumesAStreamWithoutIds() {
        assertTrue(stream("data: a\n\n"));
        assertFalse(relay.mayResume());
    }

    private boolean stream(String events) {
        return relay.stream(200, HEADERS, events.getBytes(StandardCharsets.UTF_8));
    }
}
