package org.cardamomthread.configuration.declaration;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The kinds of services. */
public enum ServiceKind {
    /** A model engine. */
    @JsonProperty("model")
    MODEL,
    /** A plain service whose calls are forwarded as they are. */
    @JsonProperty("service")
    SERVICE
}
