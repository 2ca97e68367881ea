package org.cardamomthread.execution.claim;

import java.util.Objects;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.execution.generated.ClaimKeyMessage;

/**
 * Identifies a non-idempotent call.
 *
 * <p>Immutable and thread-safe.
 *
 * @param account client account that makes the call
 * @param service service that is called
 * @param key idempotency key chosen by the caller, 1 to {@value #MAX_KEY_LENGTH} characters
 */
public record ClaimKey(ClientAccountId account, ServiceId service, String key) {

    /** Maximum length of an idempotency key, in characters. */
    public static final int MAX_KEY_LENGTH = 255;

    /** Validates the length of the key. */
    public ClaimKey {
        Objects.requireNonNull(account, "account must not be null");
        Objects.requireNonNull(service, "service must not be null");
        if (key == null || key.isEmpty() || key.length() > MAX_KEY_LENGTH) {
            throw new IllegalArgumentException(
                    "the idempotency key must have 1 to " + MAX_KEY_LENGTH + " characters");
        }
    }

    ClaimKeyMessage toMessage() {
        return ClaimKeyMessage.newBuilder()
                .setAccount(account.value())
                .setService(service.value())
                .setKey(key)
                .build();
    }

    static ClaimKey fromMessage(ClaimKeyMessage message) {
        return new ClaimKey(
                new ClientAccountId(message.getAccount()),
                new ServiceId(message.getService()),
                message.getKey());
    }
}
