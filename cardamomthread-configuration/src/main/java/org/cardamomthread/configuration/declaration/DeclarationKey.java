package org.cardamomthread.configuration.declaration;

import java.util.Comparator;
import java.util.Objects;

/**
 * Names one declaration.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param kind its kind
 * @param id its id, unique in its kind
 */
public record DeclarationKey(DeclarationKind kind, String id)
        implements Comparable<DeclarationKey> {

    private static final Comparator<DeclarationKey> ORDER =
            Comparator.comparing(DeclarationKey::kind).thenComparing(DeclarationKey::id);

    /** Checks the arguments. */
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
