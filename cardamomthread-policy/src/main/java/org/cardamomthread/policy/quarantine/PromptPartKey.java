package org.cardamomthread.policy.quarantine;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Objects;
import org.cardamomthread.core.id.ServiceId;

/**
 * Identifies a prompt part within one service. Immutable.
 *
 * @param service the service whose endpoints read the part
 * @param part the id of the part, at most {@value #MAX_PART_LENGTH} characters
 */
public record PromptPartKey(ServiceId service, String part) {

    /** Maximum length of a part's id, in characters. */
    public static final int MAX_PART_LENGTH = 64;

    /** Creates a key. */
    public PromptPartKey {
        Objects.requireNonNull(service, "service must not be null");
        if (part.length() > MAX_PART_LENGTH) {
            throw new IllegalArgumentException(
                    "the id of a prompt part has "
                            + part.length()
                            + " characters, the maximum is "
                            + MAX_PART_LENGTH
                            + ": use PromptPartKey.of");
        }
    }

    /**
     * Creates a key; an id that is too long is replaced by its hash.
     *
     * @param service the service whose endpoints read the part
     * @param part the id of the part as the client sent it
     * @return the key
     */
    public static PromptPartKey of(ServiceId service, String part) {
        return new PromptPartKey(
                service,
                part.length() <= MAX_PART_LENGTH
                        ? part
                        : Long.toHexString(Hashing.xxh3_64().hashCharsToLong(part)));
    }
}
