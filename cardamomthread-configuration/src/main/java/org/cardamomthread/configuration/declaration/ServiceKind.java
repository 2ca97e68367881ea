package org.cardamomthread.configuration.declaration;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The kinds of services. */
public enum ServiceKind {
    /** A model engine. */
    @JsonProperty("model")
    MODEL,
    /** A plain service whose calls are passed through. */
    @JsonProperty("service")
    SERVICE
}
