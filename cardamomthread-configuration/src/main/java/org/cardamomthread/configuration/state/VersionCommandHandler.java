package org.cardamomthread.configuration.state;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import org.cardamomthread.configuration.declaration.DeclarationKey;
import org.cardamomthread.configuration.declaration.DeclarationKind;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.configuration.declaration.Service;
import org.cardamomthread.configuration.generated.AdvanceVersionMove;
import org.cardamomthread.configuration.generated.FinishVersionMove;
import org.cardamomthread.configuration.generated.StartVersionMove;
import org.cardamomthread.configuration.generated.StopVersion;
import org.cardamomthread.core.id.OperationId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;

/**
 * Applies commands that start, advance and end version moves and that stop versions. Stateless and
 * thread-safe.
 */
final class VersionCommandHandler {

    /** The maximum number of ended moves that are kept. */
    static final int MAX_ENDED_MOVES = 256;

    private VersionCommandHandler() {}

    static CommandOutcome start(ConfigurationView view, StartVersionMove command) {
        ServiceId serviceId = new ServiceId(command.getService());
        VersionId to = new VersionId(command.getToVersion());
        Optional<Service> service = view.declarations().findService(serviceId);
        Optional<CommandOutcome> rejection = findStartRejection(view, serviceId, service, to);
        if (rejection.isPresent()) {
            return rejection.get();
        }
        if (command.getDeadlineMs() <= command.getStartedAtMs()) {
            return CommandOutcome.reject(
                    view,
                    "deadline " + Instant.ofEpochMilli(command.getDeadlineMs()) + " has passed",
                    "name a later deadline");
        }
        Instant startedAt = Instant.ofEpochMilli(command.getStartedAtMs());
        VersionMove move =
                new VersionMove(
                        new OperationId(command.getOperationId()),
                        serviceId,
                        service.orElseThrow().currentVersion(),
                        to,
                        Instant.ofEpochMilli(command.getDeadlineMs()),
                        startedAt,
                        VersionMove.State.RUNNING,
                        0,
                        startedAt,
                        "");
        ViewBuilder builder = new ViewBuilder(view);
        builder.put(EntryCodec.toEntry(move));
        evictEndedMoves(view, builder);
        return CommandOutcome.accept(builder);
    }

    private static Optional<CommandOutcome> findStartRejection(
            ConfigurationView view, ServiceId id, Optional<Service> service, VersionId to) {
        if (service.isEmpty()) {
            return Optional.of(rejectUndeclaredService(view, id));
        }
        if (!service.get().versions().contains(to)) {
            return Optional.of(
                    CommandOutcome.reject(
                            view,
                            "version \"" + to + "\" of service \"" + id + "\" is not declared",
                            "declare it, or use one of " + service.get().versions()));
        }
        if (service.get().currentVersion().equals(to)) {
            return Optional.of(
                    CommandOutcome.reject(
                            view,
                            "version \"" + to + "\" is the current one of service \"" + id + "\"",
                            "name another version"));
        }
        if (view.isStopped(id, to)) {
            return Optional.of(
                    CommandOutcome.reject(
                            view,
                            "version \"" + to + "\" of service \"" + id + "\" was stopped",
                            "declare the repaired version under a new id, or after a false alarm"
                                    + " remove the version from versions and declare it again"));
        }
        return view.findRunningVersionMove(id)
                .map(
                        move ->
                                CommandOutcome.reject(
                                        view,
                                        "move " + move.id() + " of service \"" + id + "\" runs",
                                        "wait until it has ended"));
    }

    static CommandOutcome advance(ConfigurationView view, AdvanceVersionMove command) {
        Optional<VersionMove> found = view.findVersionMove(new OperationId(command.getMoveId()));
        if (found.isEmpty() || !found.get().isRunning()) {
            return rejectMoveNotRunning(view, command.getMoveId(), found);
        }
        VersionMove move = found.get();
        int lastStep = lastStepIndex(view, move);
        if (command.getStep() <= move.step()) {
            return CommandOutcome.unchanged(view);
        }
        if (command.getStep() != move.step() + 1 || command.getStep() > lastStep) {
            return CommandOutcome.reject(
                    view,
                    "step "
                            + command.getStep()
                            + " does not follow step "
                            + move.step()
                            + " of steps 0 to "
                            + lastStep,
                    "advance one step at a time");
        }
        ViewBuilder builder = new ViewBuilder(view);
        Instant at = Instant.ofEpochMilli(command.getAtMs());
        builder.put(EntryCodec.toEntry(move.withStep(command.getStep(), at)));
        return CommandOutcome.accept(builder);
    }

    static CommandOutcome finish(ConfigurationView view, FinishVersionMove command) {
        Optional<VersionMove> found = view.findVersionMove(new OperationId(command.getMoveId()));
        VersionMove.State endState =
                command.getDone() ? VersionMove.State.DONE : VersionMove.State.ROLLED_BACK;
        if (found.isPresent() && found.get().state() == endState) {
            return CommandOutcome.unchanged(view);
        }
        if (found.isEmpty() || !found.get().isRunning()) {
            return rejectMoveNotRunning(view, command.getMoveId(), found);
        }
        VersionMove move = found.get();
        Instant at = Instant.ofEpochMilli(command.getAtMs());
        if (command.getDone() && move.step() != lastStepIndex(view, move)) {
            return CommandOutcome.reject(
                    view,
                    "move " + move.id() + " is at step " + move.step() + " and not at the last",
                    "advance it to step " + lastStepIndex(view, move) + " first");
        }
        if (command.getDone() && at.isAfter(move.deadline())) {
            return CommandOutcome.reject(
                    view,
                    "the deadline " + move.deadline() + " of move " + move.id() + " has passed",
                    "take the move back");
        }
        ViewBuilder builder = new ViewBuilder(view);
        builder.put(EntryCodec.toEntry(move.withEndState(endState, at, command.getReason())));
        if (command.getDone()) {
            putCurrentVersion(view, builder, move);
        }
        return CommandOutcome.accept(builder);
    }

    static CommandOutcome stop(ConfigurationView view, StopVersion command) {
        ServiceId serviceId = new ServiceId(command.getService());
        VersionId version = new VersionId(command.getVersion());
        Optional<Service> service = view.declarations().findService(serviceId);
        if (service.isEmpty()) {
            return rejectUndeclaredService(view, serviceId);
        }
        if (view.isStopped(serviceId, version)) {
            return CommandOutcome.unchanged(view);
        }
        if (service.get().currentVersion().equals(version)) {
            return CommandOutcome.reject(
                    view,
                    "version \"" + version + "\" is the current one of \"" + serviceId + "\"",
                    "move the service to another version");
        }
        Instant at = Instant.ofEpochMilli(command.getAtMs());
        ViewBuilder builder = new ViewBuilder(view);
        builder.put(
                EntryCodec.toEntry(
                        new StoppedVersion(serviceId, version, command.getReason(), at)));
        view.findRunningVersionMove(serviceId)
                .filter(move -> move.to().equals(version))
                .map(
                        move ->
                                move.withEndState(
                                        VersionMove.State.ROLLED_BACK, at, command.getReason()))
                .ifPresent(move -> builder.put(EntryCodec.toEntry(move)));
        return CommandOutcome.accept(builder);
    }

    private static void putCurrentVersion(
            ConfigurationView view, ViewBuilder builder, VersionMove move) {
        Declarations declarations = view.declarations();
        Service service = declarations.findService(move.service()).orElseThrow();
        Service updated = service.withCurrentVersion(move.to());
        DeclarationKey key = new DeclarationKey(DeclarationKind.SERVICE, updated.id().value());
        SortedMap<DeclarationKey, String> jsonByKey =
                declarations.with(updated).canonicalJsonByKey();
        builder.putDeclaration(key, jsonByKey.get(key));
    }

    private static void evictEndedMoves(ConfigurationView view, ViewBuilder builder) {
        List<VersionMove> ended =
                view.versionMoves().stream()
                        .filter(move -> !move.isRunning())
                        .sorted(
                                Comparator.comparing(VersionMove::changedAt)
                                        .thenComparing(VersionMove::id))
                        .toList();
        int excess = Math.max(0, ended.size() - MAX_ENDED_MOVES);
        ended.subList(0, excess).forEach(move -> builder.remove(EntryKeys.versionMove(move.id())));
    }

    private static int lastStepIndex(ConfigurationView view, VersionMove move) {
        return view.declarations()
                        .findService(move.service())
                        .orElseThrow()
                        .rollout()
                        .steps()
                        .size()
                - 1;
    }

    private static CommandOutcome rejectUndeclaredService(ConfigurationView view, ServiceId id) {
        return CommandOutcome.reject(
                view,
                "service \"" + id + "\" is not declared",
                "declare it, or use one of " + view.declarations().services().keySet());
    }

    private static CommandOutcome rejectMoveNotRunning(
            ConfigurationView view, String id, Optional<VersionMove> found) {
        String state =
                found.map(move -> "has ended: " + move.state() + ", " + move.reason())
                        .orElse("is unknown");
        return CommandOutcome.reject(view, "move " + id + " " + state, "start a new move");
    }
}
