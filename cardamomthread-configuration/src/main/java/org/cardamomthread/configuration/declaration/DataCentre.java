package org.cardamomthread.configuration.declaration;

import java.util.Objects;
import org.cardamomthread.core.id.DataCentreId;

/**
 * Declares a data centre; whether it takes work is set by operators and not declared.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id its id
 */
public record DataCentre(DataCentreId id) {
    /** Checks the arguments. */
    public DataCentre {
        Objects.requireNonNull(id, "id must not be null");
    }
}
