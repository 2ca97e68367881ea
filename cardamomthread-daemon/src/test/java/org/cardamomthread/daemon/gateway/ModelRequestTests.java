package org.cardamomthread.daemon.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link ModelRequest}. */
public class ModelRequestTests {

    @DataProvider
    public Object[][] invalidBodies() {
        return new Object[][] {
            {bytes("{\"model\": \"chat\""), "line 1"},
            {bytes("[]"), "one JSON object"},
            {bytes(""), "one JSON object"},
            {bytes("{}"), "\"model\""},
            {bytes("{\"model\": 3}"), "\"model\""},
            {bytes("{\"model\": \"chat\", \"stream\": \"yes\"}"), "\"stream\""},
            {bytes("{\"model\": \"chat\"} trailing"), "line 1"},
            {new byte[] {'{', '"', (byte) 0xff, '"', '}'}, "UTF-8"},
        };
    }

    @Test(dataProvider = "invalidBodies")
    public void reportsWhatIsInvalid(byte[] body, String expected) {
        InvalidRequestException exception =
                expectThrows(InvalidRequestException.class, () -> ModelRequest.parse(body));
        assertTrue(exception.getMessage().contains(expected), exception.getMessage());
    }

    @Test
    public void addsTheDeliveredTextToAResumedRequest() throws Exception {
        ModelRequest request = ModelRequest.parse(bytes("{\"model\":\"chat\",\"seed\":7}"));
        StreamProgress progress = new StreamProgress();
        progress.record("{\"choices\":[{\"delta\":{\"content\":\"ice \"}}]}");
        progress.record("{\"choices\":[{\"delta\":{\"content\":\"bags\"}}]}");
        assertEquals(
                new String(request.createBody(progress), StandardCharsets.UTF_8),
                "{\"model\":\"chat\",\"seed\":7,"
                        + "\"resume\":{\"text\":\"ice bags\",\"tokens\":2}}");
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
