package org.cardamomthread.configuration.declaration;

import java.util.Comparator;
import java.util.Objects;

/**
 * Identifies one declaration.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind kind of the declaration
 * @param id id of the declaration, unique within its kind
 */
public record DeclarationKey(DeclarationKind kind, String id)
        implements Comparable<DeclarationKey> {

    private static final Comparator<DeclarationKey> ORDER =
            Comparator.comparing(DeclarationKey::kind).thenComparing(DeclarationKey::id);

    /** Validates the components. */
    public DeclarationKey {
        Objects.requireNonNull(kind, "kind must not be null");
        Objects.requireNonNull(id, "id must not be null");
    }

    @Override
    public int compareTo(DeclarationKey other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return kind.sectionKey() + "/" + id;
    }
}
