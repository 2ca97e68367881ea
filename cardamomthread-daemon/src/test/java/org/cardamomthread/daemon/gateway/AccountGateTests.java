package org.cardamomthread.daemon.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.cardamomthread.configuration.declaration.ClientAccount;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.daemon.gateway.AccountGate.Entry;
import org.testng.annotations.Test;

/** Tests {@link AccountGate}. */
public class AccountGateTests {

    private static final ClientAccount ACCOUNT = createAccount("bars", 2, 1);
    private static final ClientAccount OTHER = createAccount("drivers", 1, 0);

    private final AccountGate gate = new AccountGate();
    private final List<String> admitted = new ArrayList<>();

    @Test
    public void boundsRunningAndWaitingCallsOfEachAccount() {
        Runnable third = () -> admitted.add("third");
        assertEquals(gate.enter(ACCOUNT, () -> admitted.add("first")), Entry.ADMITTED);
        assertEquals(gate.enter(ACCOUNT, () -> admitted.add("second")), Entry.ADMITTED);
        assertEquals(gate.enter(ACCOUNT, third), Entry.WAITING);
        assertEquals(gate.enter(ACCOUNT, () -> admitted.add("fourth")), Entry.REFUSED);
        assertEquals(gate.enter(OTHER, () -> admitted.add("other")), Entry.ADMITTED);
        assertEquals(admitted, List.of("first", "second", "other"));
        gate.leave(ACCOUNT.id());
        assertEquals(admitted, List.of("first", "second", "other", "third"));
        assertFalse(gate.withdraw(ACCOUNT.id(), third));
        Runnable fifth = () -> admitted.add("fifth");
        assertEquals(gate.enter(ACCOUNT, fifth), Entry.WAITING);
        assertTrue(gate.withdraw(ACCOUNT.id(), fifth));
        gate.leave(ACCOUNT.id());
        gate.leave(ACCOUNT.id());
        assertFalse(admitted.contains("fifth"));
        assertEquals(gate.enter(ACCOUNT, () -> admitted.add("sixth")), Entry.ADMITTED);
    }

    private static ClientAccount createAccount(String id, int maxConcurrent, int queueLength) {
        String digest = "0".repeat(64);
        return new ClientAccount(new ClientAccountId(id), digest, maxConcurrent, queueLength, 1.0);
    }
}
