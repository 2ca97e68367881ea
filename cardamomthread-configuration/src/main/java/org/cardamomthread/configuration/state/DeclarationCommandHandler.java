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

/** Decides changes of declarations. Stateless and safe for use by several threads. */
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
        Declarations wanted = readDeclarations(view, command);
        Optional<CommandOutcome> refusal = findRejection(view, wanted);
        if (refusal.isPresent()) {
            return refusal.get();
        }
        ViewBuilder editor = new ViewBuilder(view);
        putDifferences(
                editor, view.declarations().canonicalJsonByKey(), wanted.canonicalJsonByKey());
        if (editor.isEmpty()) {
            return CommandOutcome.unchanged(view);
        }
        removeObsoleteStops(editor, view, wanted);
        return CommandOutcome.accept(editor);
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
        Map<DeclarationKey, String> texts = new HashMap<>();
        for (DeclarationMessage message : command.getDeclarationsList()) {
            texts.put(EntryCodec.keyOf(message), message.getJson());
        }
        if (command.getWhole()) {
            return Declarations.fromCanonicalJson(texts);
        }
        Set<DeclarationKey> removed =
                command.getRemovedList().stream()
                        .map(EntryCodec::keyOf)
                        .collect(Collectors.toSet());
        return view.declarations().with(texts, removed);
    }

    private static void putDifferences(
            ViewBuilder editor,
            SortedMap<DeclarationKey, String> held,
            SortedMap<DeclarationKey, String> wanted) {
        wanted.forEach(
                (key, text) -> {
                    if (!text.equals(held.get(key))) {
                        editor.putDeclaration(key, text);
                    }
                });
        for (DeclarationKey key : held.keySet()) {
            if (!wanted.containsKey(key)) {
                editor.removeDeclaration(key);
            }
        }
    }

    private static Optional<CommandOutcome> findRejection(
            ConfigurationView view, Declarations wanted) {
        for (Service held : view.declarations().services().values()) {
            Optional<Service> service = wanted.findService(held.id());
            Optional<VersionMove> move = view.findRunningMove(held.id());
            if (move.isPresent() && !declaresBothVersions(service, move.get())) {
                return Optional.of(
                        CommandOutcome.reject(
                                view,
                                "service \""
                                        + held.id()
                                        + "\" or a version of its move from "
                                        + move.get().from()
                                        + " to "
                                        + move.get().to()
                                        + " is left out",
                                "keep the service and both versions until the move has ended"));
            }
            if (service.isPresent()
                    && !service.get().currentVersion().equals(held.currentVersion())) {
                return Optional.of(
                        CommandOutcome.reject(
                                view,
                                "currentVersion of service \""
                                        + held.id()
                                        + "\" is "
                                        + service.get().currentVersion()
                                        + " and in force is "
                                        + held.currentVersion(),
                                "write currentVersion: "
                                        + held.currentVersion()
                                        + ", and change it by cardamomthread version move"));
            }
        }
        return Optional.empty();
    }

    private static boolean declaresBothVersions(Optional<Service> service, VersionMove move) {
        return service.isPresent()
                && service.get().versions().contains(move.from())
                && service.get().versions().contains(move.to());
    }

    private static void removeObsoleteStops(
            ViewBuilder editor, ConfigurationView view, Declarations wanted) {
        for (StoppedVersion stopped : view.stoppedVersions()) {
            Optional<Service> service = wanted.findService(stopped.service());
            if (service.isEmpty() || !service.get().versions().contains(stopped.version())) {
                editor.remove(EntryKeys.stoppedVersion(stopped.service(), stopped.version()));
            }
        }
    }
}
