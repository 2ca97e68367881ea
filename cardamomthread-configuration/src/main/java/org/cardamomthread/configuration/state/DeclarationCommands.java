package org.cardamomthread.configuration.state;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import org.cardamomthread.configuration.declaration.DeclarationChange;
import org.cardamomthread.configuration.declaration.DeclarationChange.Type;
import org.cardamomthread.configuration.declaration.DeclarationKey;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.configuration.declaration.DeclarationsDifference;
import org.cardamomthread.configuration.declaration.Service;
import org.cardamomthread.configuration.generated.ApplyDeclarations;
import org.cardamomthread.configuration.generated.DeclarationMessage;

/** Decides changes of declarations. Stateless and safe for use by several threads. */
final class DeclarationCommands {

    private DeclarationCommands() {}

    static Outcome apply(ConfigurationView view, ApplyDeclarations command) {
        Declarations wanted = read(command);
        List<DeclarationChange> changes =
                DeclarationsDifference.between(view.declarations(), wanted);
        if (command.getBaseRevision() > view.revision()) {
            return Outcome.reject(
                    view,
                    "base revision "
                            + command.getBaseRevision()
                            + " is above the current revision "
                            + view.revision(),
                    "read the configuration and make the change against its revision");
        }
        if (command.getBaseRevision() < view.declarationsRevision()) {
            return Outcome.stale(view, changes.stream().map(DeclarationChange::toString).toList());
        }
        Optional<Outcome> refusal = findRefusal(view, wanted);
        if (refusal.isPresent()) {
            return refusal.get();
        }
        return changes.isEmpty() ? Outcome.unchanged(view) : change(view, wanted, changes);
    }

    private static Declarations read(ApplyDeclarations command) {
        Map<DeclarationKey, String> texts = new HashMap<>();
        for (DeclarationMessage message : command.getDeclarationsList()) {
            texts.put(EntryCodec.keyOf(message), message.getJson());
        }
        return Declarations.ofTexts(texts);
    }

    private static Optional<Outcome> findRefusal(ConfigurationView view, Declarations wanted) {
        for (Service held : view.declarations().services().values()) {
            Optional<Service> service = wanted.findService(held.id());
            Optional<VersionMove> move = view.findRunningMove(held.id());
            if (move.isPresent() && !keepsVersions(service, move.get())) {
                return Optional.of(
                        Outcome.reject(
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
                        Outcome.reject(
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

    private static boolean keepsVersions(Optional<Service> service, VersionMove move) {
        return service.isPresent()
                && service.get().versions().contains(move.from())
                && service.get().versions().contains(move.to());
    }

    private static Outcome change(
            ConfigurationView view, Declarations wanted, List<DeclarationChange> changes) {
        ViewEditor editor = new ViewEditor(view);
        SortedMap<DeclarationKey, String> texts = wanted.toTexts();
        for (DeclarationChange change : changes) {
            if (change.type() == Type.REMOVED) {
                editor.removeDeclaration(change.key());
            } else {
                editor.putDeclaration(change.key(), texts.get(change.key()));
            }
        }
        for (StoppedVersion stopped : view.stoppedVersions()) {
            Optional<Service> service = wanted.findService(stopped.service());
            if (service.isEmpty() || !service.get().versions().contains(stopped.version())) {
                editor.remove(EntryKeys.stopped(stopped.service(), stopped.version()));
            }
        }
        return Outcome.accept(editor);
    }
}
