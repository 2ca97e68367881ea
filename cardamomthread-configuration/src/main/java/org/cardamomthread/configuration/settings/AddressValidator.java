package org.cardamomthread.configuration.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.cardamomthread.configuration.document.Document;
import org.cardamomthread.configuration.document.DocumentProblem;
import org.cardamomthread.configuration.document.JsonPointers;
import org.cardamomthread.configuration.document.NetworkAddress;

/**
 * Validates that each address in a settings document is an IP address with a port. Not thread-safe.
 */
final class AddressValidator {

    private static final List<String> LISTENER_NAMES =
            List.of("callers", "endpoints", "operators", "peers");

    private final Document document;
    private final List<DocumentProblem> problems = new ArrayList<>();

    AddressValidator(Document document) {
        this.document = document;
    }

    List<DocumentProblem> validate() {
        for (String listener : LISTENER_NAMES) {
            validateAddress(JsonPointers.of("listeners", listener));
        }
        int peers = document.root().path("peers").size();
        for (int i = 0; i < peers; i++) {
            validateAddress(JsonPointers.of("peers", i, "address"));
        }
        validateAddress(JsonPointers.of("platform", "address"));
        validateAddress(JsonPointers.of("telemetry", "otlpAddress"));
        return problems;
    }

    private void validateAddress(String pointer) {
        JsonNode value = document.root().at(pointer);
        if (!value.isTextual()) {
            return; // Schema validation reports a missing value or one of the wrong type.
        }
        try {
            NetworkAddress.parse(value.asText());
        } catch (IllegalArgumentException e) {
            problems.add(
                    document.problem(
                            pointer,
                            e.getMessage(),
                            "write an IP address and a port from 1 to 65535, such as"
                                    + " 127.0.0.1:8080 or [::1]:8080; names are not resolved"));
        }
    }
}
