package org.cardamomthread.configuration.declaration;

import java.util.Objects;
import org.cardamomthread.core.id.DataCentreId;

/**
 * Declares a data centre. Whether it takes work is not declared: operators change that state at run
 * time.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id id of the data centre
 */
public record DataCentre(DataCentreId id) {
    /** Validates the components. */
    public DataCentre {
        Objects.requireNonNull(id, "id must not be null");
    }
}
