package org.cardamomthread.configuration.state;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.configuration.declaration.DeclarationsLoader;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.cardamomthread.configuration.document.YamlReader;
import org.cardamomthread.configuration.generated.ConfigurationCommand;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.OperationId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;

/** Generates random commands of every type from a seed. Not thread-safe. */
final class CommandGenerator {

    static final ServiceId CHAT = new ServiceId("chat");
    static final DataCentreId PERTH = new DataCentreId("perth-a");
    static final VersionId V1 = new VersionId("v1");
    static final VersionId V2 = new VersionId("v2");
    static final Instant NOW = Instant.ofEpochSecond(1_000);

    private static final DeclarationsLoader LOADER = new DeclarationsLoader();

    private final Random random;
    private int nextOperation;

    CommandGenerator(long seed) {
        random = new Random(seed);
    }

    static OperationId operation(String id) {
        return new OperationId(id);
    }

    /**
     * Returns declarations with a latency target, a number of data centres and a current version of
     * the service.
     */
    static Declarations declarations(int firstTokenMs, int dataCentres, String currentVersion) {
        StringBuilder yaml = new StringBuilder("dataCentres:\n  - id: perth-a\n");
        for (int i = 1; i < dataCentres; i++) {
            yaml.append("  - id: other-").append(i).append('\n');
        }
        yaml.append(
                """
                profiles:
                  - id: urgent
                    latency: {firstTokenMs: %d}
                services:
                  - id: chat
                    kind: model
                    profile: urgent
                    versions: [v1, v2]
                    currentVersion: %s
                    rollout: {steps: [0.1, 1.0]}
                """
                        .formatted(firstTokenMs, currentVersion));
        try {
            JsonNode tree = YamlReader.parse("generated", yaml.toString()).root();
            return LOADER.load("generated", tree);
        } catch (InvalidDocumentException e) {
            throw new IllegalStateException("generated declarations must be valid", e);
        }
    }

    ConfigurationCommand next(ConfigurationView view) {
        OperationId operation = operation("op-" + nextOperation++);
        Instant at = NOW.plusSeconds(nextOperation);
        return switch (random.nextInt(8)) {
            case 0 ->
                    ConfigurationCommands.applyDeclarations(
                            operation, randomBaseRevision(view), randomDeclarations(view));
            case 1 ->
                    ConfigurationCommands.applyDeclarations(
                            operation, randomBaseRevision(view), randomDeclarations(view), view);
            case 2 ->
                    ConfigurationCommands.startVersionMove(
                            operation, CHAT, randomVersion(), at.plusSeconds(60), at);
            case 3 ->
                    ConfigurationCommands.advanceVersionMove(
                            operation, randomMove(view), random.nextInt(3), at);
            case 4 ->
                    ConfigurationCommands.finishVersionMove(
                            operation, randomMove(view), random.nextBoolean(), "tested", at);
            case 5 ->
                    ConfigurationCommands.stopVersion(
                            operation, CHAT, randomVersion(), "failures", at);
            case 6 ->
                    ConfigurationCommands.setDataCentreState(
                            operation,
                            PERTH,
                            new DataCentreState(
                                    random.nextBoolean(),
                                    view.dataCentreState(PERTH).epoch() + random.nextInt(2)));
            default -> ConfigurationCommands.takeFencingNumber(operation, new NodeId("node-a"));
        };
    }

    private long randomBaseRevision(ConfigurationView view) {
        return Math.max(0, view.revision() - random.nextInt(3));
    }

    private Declarations randomDeclarations(ConfigurationView view) {
        String current =
                view.declarations()
                        .findService(CHAT)
                        .map(service -> service.currentVersion().value())
                        .orElse("v1");
        return declarations(100 + random.nextInt(3), 1 + random.nextInt(4), current);
    }

    private VersionId randomVersion() {
        return random.nextBoolean() ? V1 : V2;
    }

    private OperationId randomMove(ConfigurationView view) {
        List<VersionMove> moves = view.versionMoves();
        return moves.isEmpty()
                ? operation("no-move")
                : moves.get(random.nextInt(moves.size())).id();
    }
}
