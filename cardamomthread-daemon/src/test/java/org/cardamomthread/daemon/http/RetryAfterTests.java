package org.cardamomthread.daemon.http;

import static org.testng.Assert.assertEquals;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.OptionalLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which delays {@link RetryAfter} reads from the headers of a response. */
public class RetryAfterTests {

    @DataProvider
    public Object[][] values() {
        return new Object[][] {
            {List.of(), OptionalLong.empty(), 0},
            {List.of("3"), OptionalLong.of(3_000), 0},
            {List.of(" 0.25 "), OptionalLong.of(250), 0},
            {List.of("0.0001"), OptionalLong.of(1), 0},
            {List.of("0"), OptionalLong.of(0), 0},
            {List.of("1e1"), OptionalLong.of(10_000), 0},
            {List.of("1e300"), OptionalLong.of(RetryAfter.MAX_DELAY_MS), 0},
            {List.of("1e999"), OptionalLong.of(RetryAfter.MAX_DELAY_MS), 0},
            {List.of("9".repeat(60)), OptionalLong.of(RetryAfter.MAX_DELAY_MS), 0},
            {List.of("9".repeat(65)), OptionalLong.empty(), 1},
            {List.of("2", "5"), OptionalLong.of(5_000), 0},
            {List.of("2", "soon"), OptionalLong.of(2_000), 1},
            {List.of("-1"), OptionalLong.empty(), 1},
            {List.of("NaN"), OptionalLong.empty(), 1},
            {List.of("Infinity"), OptionalLong.empty(), 1},
            {List.of("0x10"), OptionalLong.empty(), 1},
            {List.of("3d"), OptionalLong.empty(), 1},
            {List.of(""), OptionalLong.empty(), 1},
            {List.of("Wed, 21 Oct 2026 07:28:00 GMT"), OptionalLong.empty(), 1},
        };
    }

    @Test(dataProvider = "values")
    public void readsLongestDelayInSeconds(
            List<String> values, OptionalLong expectedDelayMs, int expectedIgnored) {
        HttpHeaders headers = new DefaultHttpHeaders(false);
        headers.add("retry-after", values);
        RetryAfter retryAfter = RetryAfter.of(headers);
        assertEquals(retryAfter.delayMs(), expectedDelayMs);
        assertEquals(retryAfter.ignoredValues().size(), expectedIgnored);
    }
}
