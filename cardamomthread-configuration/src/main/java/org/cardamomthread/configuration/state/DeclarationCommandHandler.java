package org.cardamomthread.configuration.state;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.stream.Collectors;
import org.cardamomthread.configuration.declaration.DeclarationChange;
import org.cardamomthread.configuration.declaration.DeclarationKey;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.configuration.declaration.DeclarationsDifference;
import org.cardamomthread.configuration.declaration.Service;
import org.cardamomthread.configuration.generated.ApplyDeclarations;
import org.cardamomthread.configuration.generated.DeclarationMessage;

/** Applies commands that change declarations. Stateless and thread-safe. */
final class DeclarationCommandHandler {

    private DeclarationCommandHandler() {}

    static CommandOutcome apply(ConfigurationView view, ApplyDeclarations command) {
        if (command.getBaseRevision() > view.revision()) {
            return CommandOutcome.reject(
                    view,
                    "base revision "
                            + command.getBaseRevision()
                            + " is above the current revision "
                            + view.revision(),
                    "read the configuration and make the change against its revision");
        }
        if (command.getBaseRevision() < view.declarationsRevision()) {
            return CommandOutcome.stale(
                    view, command.getWhole() ? describeDifferences(view, command) : List.of());
        }
        Declarations newDeclarations = readDeclarations(view, command);
        Optional<CommandOutcome> rejection = findRejection(view, newDeclarations);
        if (rejection.isPresent()) {
            return rejection.get();
        }
        ViewBuilder builder = new ViewBuilder(view);
        putDifferences(
                builder,
                view.declarations().canonicalJsonByKey(),
                newDeclarations.canonicalJsonByKey());
        if (builder.isEmpty()) {
            return CommandOutcome.unchanged(view);
        }
        removeObsoleteStops(builder, view, newDeclarations);
        return CommandOutcome.accept(builder);
    }

    private static List<String> describeDifferences(
            ConfigurationView view, ApplyDeclarations command) {
        return DeclarationsDifference.between(view.declarations(), readDeclarations(view, command))
                .stream()
                .map(DeclarationChange::toString)
                .toList();
    }

    private static Declarations readDeclarations(
            ConfigurationView view, ApplyDeclarations command) {
        Map<DeclarationKey, String> jsonByKey = new HashMap<>();
        for (DeclarationMessage message : command.getDeclarationsList()) {
            jsonByKey.put(EntryCodec.keyOf(message), message.getJson());
        }
        if (command.getWhole()) {
            return Declarations.fromCanonicalJson(jsonByKey);
        }
        Set<DeclarationKey> removed =
                command.getRemovedList().stream()
                        .map(EntryCodec::keyOf)
                        .collect(Collectors.toSet());
        return view.declarations().with(jsonByKey, removed);
    }

    private static void putDifferences(
            ViewBuilder builder,
            SortedMap<DeclarationKey, String> currentJsonByKey,
            SortedMap<DeclarationKey, String> newJsonByKey) {
        newJsonByKey.forEach(
                (key, json) -> {
                    if (!json.equals(currentJsonByKey.get(key))) {
                        builder.putDeclaration(key, json);
                    }
                });
        for (DeclarationKey key : currentJsonByKey.keySet()) {
            if (!newJsonByKey.containsKey(key)) {
                builder.removeDeclaration(key);
            }
        }
    }

    private static Optional<CommandOutcome> findRejection(
            ConfigurationView view, Declarations newDeclarations) {
        for (Service currentService : view.declarations().services().values()) {
            Optional<Service> newService = newDeclarations.findService(currentService.id());
            Optional<VersionMove> move = view.findRunningVersionMove(currentService.id());
            if (move.isPresent() && !declaresBothVersions(newService, move.get())) {
                return Optional.of(
                        CommandOutcome.reject(
                                view,
                                "service \""
                                        + currentService.id()
                                        + "\" or a version of its move from "
                                        + move.get().from()
                                        + " to "
                                        + move.get().to()
                                        + " is left out",
                                "keep the service and both versions until the move has ended"));
            }
            if (newService.isPresent()
                    && !newService.get().currentVersion().equals(currentService.currentVersion())) {
                return Optional.of(
                        CommandOutcome.reject(
                                view,
                                "currentVersion of service \""
                                        + currentService.id()
                                        + "\" is "
                                        + newService.get().currentVersion()
                                        + " and in force is "
                                        + currentService.currentVersion(),
                                "write currentVersion: "
                                        + currentService.currentVersion()
                                        + ", and change it by cardamomthread version move"));
            }
        }
        return Optional.empty();
    }

    private static boolean declaresBothVersions(Optional<Service> newService, VersionMove move) {
        return newService.isPresent()
                && newService.get().versions().contains(move.from())
                && newService.get().versions().contains(move.to());
    }

    private static void removeObsoleteStops(
            ViewBuilder builder, ConfigurationView view, Declarations newDeclarations) {
        for (StoppedVersion stopped : view.stoppedVersions()) {
            Optional<Service> newService = newDeclarations.findService(stopped.service());
            if (newService.isEmpty() || !newService.get().versions().contains(stopped.version())) {
                builder.remove(EntryKeys.stoppedVersion(stopped.service(), stopped.version()));
            }
        }
    }
}
