package org.cardamomthread.daemon.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.cardamomthread.configuration.declaration.ClientAccount;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.daemon.gateway.AccountConcurrencyLimiter.Admission;
import org.testng.annotations.Test;

/** Tests {@link AccountConcurrencyLimiter}. */
public class AccountConcurrencyLimiterTests {

    private static final ClientAccount ACCOUNT = createAccount("bars", 2, 1);
    private static final ClientAccount OTHER = createAccount("drivers", 1, 0);

    private final AccountConcurrencyLimiter limiter = new AccountConcurrencyLimiter();
    private final List<String> admitted = new ArrayList<>();

    @Test
    public void limitsRunningAndQueuedCallsPerAccount() {
        Runnable third = () -> admitted.add("third");
        assertEquals(limiter.submit(ACCOUNT, () -> admitted.add("first")), Admission.ADMITTED);
        assertEquals(limiter.submit(ACCOUNT, () -> admitted.add("second")), Admission.ADMITTED);
        assertEquals(limiter.submit(ACCOUNT, third), Admission.QUEUED);
        assertEquals(limiter.submit(ACCOUNT, () -> admitted.add("fourth")), Admission.REFUSED);
        assertEquals(limiter.submit(OTHER, () -> admitted.add("other")), Admission.ADMITTED);
        assertEquals(admitted, List.of("first", "second", "other"));
        limiter.release(ACCOUNT.id());
        assertEquals(admitted, List.of("first", "second", "other", "third"));
        assertFalse(limiter.cancelQueued(ACCOUNT.id(), third));
        Runnable fifth = () -> admitted.add("fifth");
        assertEquals(limiter.submit(ACCOUNT, fifth), Admission.QUEUED);
        assertTrue(limiter.cancelQueued(ACCOUNT.id(), fifth));
        limiter.release(ACCOUNT.id());
        limiter.release(ACCOUNT.id());
        assertFalse(admitted.contains("fifth"));
        assertEquals(limiter.submit(ACCOUNT, () -> admitted.add("sixth")), Admission.ADMITTED);
    }

    private static ClientAccount createAccount(String id, int maxConcurrent, int queueLength) {
        String digest = "0".repeat(64);
        return new ClientAccount(new ClientAccountId(id), digest, maxConcurrent, queueLength, 1.0);
    }
}
