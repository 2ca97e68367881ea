package org.cardamomthread.daemon.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import org.cardamomthread.membership.endpoint.EndpointAnnouncement;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link AnnouncementReader}. */
public class AnnouncementReaderTests {

    private static final String ANNOUNCEMENT =
            "{\"endpointId\":\"e1\",\"incarnation\":3,\"sequence\":4,"
                    + "\"dataCentre\":\"perth-a\","
                    + "\"address\":\"10.1.0.9:8080\",\"kind\":\"model\","
                    + "\"endpointClass\":\"small\","
                    + "\"priceClass\":\"on-demand\",\"state\":\"ready\","
                    + "\"services\":[{\"service\":\"s\",\"version\":\"v1\",\"adapters\":[]}],"
                    + "\"load\":{\"atMs\":99,\"running\":3,\"queued\":1,\"bearableRequests\":8,"
                    + "\"kvUsedFraction\":0.5,\"prefillTokensPerSecond\":900,"
                    + "\"decodeTokensPerSecond\":30}}";

    @Test
    public void readsAnnouncement() throws InvalidAnnouncementException {
        EndpointAnnouncement announcement = read(ANNOUNCEMENT);
        assertEquals(announcement.sequence(), 4);
        assertEquals(announcement.load().inFlight(), 4);
        assertEquals(announcement.load().decodeTokensPerSecond(), 30.0);
    }

    @DataProvider
    public Object[][] invalidMembers() {
        String nested = "[".repeat(100_000) + "]".repeat(100_000);
        return new Object[][] {
            {"\"incarnation\":3", "\"incarnation\":-3", "incarnation"},
            {"\"incarnation\":3", "\"incarnation\":18446744073709551619", "incarnation"},
            {"\"sequence\":4", "\"sequence\":18446744073709551620", "sequence"},
            {"\"sequence\":4", "\"sequence\":-4", "sequence"},
            {"\"atMs\":99", "\"atMs\":-9223372036854775808", "atMs"},
            {"\"atMs\":99", "\"atMs\":9223372036854775807", "atMs"},
            {"\"running\":3", "\"running\":4294967299", "running"},
            {"\"running\":3", "\"running\":2147483647", "running"},
            {"\"queued\":1", "\"queued\":-1", "queued"},
            {"\"bearableRequests\":8", "\"bearableRequests\":4294967304", "bearableRequests"},
            {"\"bearableRequests\":8", "\"bearableRequests\":\"8\"", "bearableRequests"},
            {"0.5", "1e999", "kvUsedFraction"},
            {"0.5", "-0.5", "kvUsedFraction"},
            {"900", "1e300", "prefillTokensPerSecond"},
            {":30", ":1e999999999", "decodeTokensPerSecond"},
            {":30", ":\"fast\"", "decodeTokensPerSecond"},
            {"10.1.0.9:8080", "10.1.0.9:70000", "70000"},
            {"10.1.0.9:8080", "10.1.0.9:0", "0"},
            {"\"perth-a\"", "null", "dataCentre"},
            {"\"perth-a\"", nested, ""},
            {"\"ready\"", "\"resting\"", "resting"},
        };
    }

    @Test(dataProvider = "invalidMembers")
    public void rejectsInvalidMemberAndNamesIt(String valid, String invalid, String named) {
        assertTrue(ANNOUNCEMENT.contains(valid), valid);
        String message =
                expectThrows(
                                InvalidAnnouncementException.class,
                                () -> read(ANNOUNCEMENT.replace(valid, invalid)))
                        .getMessage();
        assertTrue(message.contains(named), message);
    }

    @DataProvider
    public Object[][] unreadableBodies() {
        return new Object[][] {{""}, {"null"}, {"7"}, {"[]"}, {"\u0000"}, {"{"}, {"{}"}};
    }

    @Test(dataProvider = "unreadableBodies")
    public void rejectsUnreadableBody(String body) {
        expectThrows(InvalidAnnouncementException.class, () -> read(body));
    }

    private static EndpointAnnouncement read(String body) throws InvalidAnnouncementException {
        return AnnouncementReader.read(body.getBytes(StandardCharsets.UTF_8));
    }
}
