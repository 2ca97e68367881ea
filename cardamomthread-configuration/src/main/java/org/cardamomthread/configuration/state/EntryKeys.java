package org.cardamomthread.configuration.state;

import java.util.Optional;
import org.cardamomthread.configuration.declaration.DeclarationKey;
import org.cardamomthread.configuration.declaration.DeclarationKind;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.OperationId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;

/**
 * Builds and parses the keys of configuration entries, which are stored in snapshots and sent in
 * deltas. Stateless and thread-safe.
 */
final class EntryKeys {

    static final String FENCING = "fencing";
    private static final String DECLARATION_PREFIX = "declaration/";
    static final String VERSION_MOVE_PREFIX = "move/";

    private EntryKeys() {}

    static String declaration(DeclarationKey key) {
        return DECLARATION_PREFIX + key.kind().wireNumber() + "/" + key.id();
    }

    static Optional<DeclarationKey> parseDeclaration(String key) {
        if (!key.startsWith(DECLARATION_PREFIX)) {
            return Optional.empty();
        }
        int idStart = key.indexOf('/', DECLARATION_PREFIX.length()) + 1;
        String number = key.substring(DECLARATION_PREFIX.length(), idStart - 1);
        DeclarationKind kind = DeclarationKind.ofWireNumber(Integer.parseInt(number));
        return Optional.of(new DeclarationKey(kind, key.substring(idStart)));
    }

    static String versionMove(OperationId id) {
        return VERSION_MOVE_PREFIX + id;
    }

    static String dataCentre(DataCentreId id) {
        return "data-centre/" + id;
    }

    static String stoppedVersion(ServiceId service, VersionId version) {
        return "stopped/" + service + "/" + version;
    }
}
