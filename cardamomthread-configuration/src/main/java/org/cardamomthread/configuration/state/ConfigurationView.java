package org.cardamomthread.configuration.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.cardamomthread.configuration.declaration.DeclarationKey;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.configuration.generated.ConfigurationDelta;
import org.cardamomthread.configuration.generated.ConfigurationEntry;
import org.cardamomthread.configuration.generated.ConfigurationEntry.ValueCase;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.OperationId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;

/**
 * Holds the configuration at one revision, as each node has it.
 *
 * <p>A view is changed only by deltas, which lead to a higher revision and never to a lower one.
 * Views of one revision hold the same configuration, whichever deltas led there. Immutable and safe
 * for use by several threads.
 */
public final class ConfigurationView {

    private static final ConfigurationView EMPTY =
            new ConfigurationView(0, 0, 0, new TreeMap<>(), Declarations.empty());

    private final long revision;
    private final long declarationsRevision;
    private final long removalHorizon;
    private final SortedMap<String, ConfigurationEntry> entries;
    private final Declarations declarations;
    private final List<VersionMove> versionMoves = new ArrayList<>();
    private final List<StoppedVersion> stoppedVersions = new ArrayList<>();

    ConfigurationView(
            long revision,
            long declarationsRevision,
            long removalHorizon,
            SortedMap<String, ConfigurationEntry> entries,
            Declarations declarations) {
        this.revision = revision;
        this.declarationsRevision = declarationsRevision;
        this.removalHorizon = removalHorizon;
        this.entries = entries;
        this.declarations = declarations;
        entries.values().forEach(this::index);
    }

    private void index(ConfigurationEntry entry) {
        if (entry.hasVersionMove()) {
            versionMoves.add(EntryCodec.toVersionMove(entry));
        } else if (entry.hasStoppedVersion()) {
            stoppedVersions.add(EntryCodec.toStoppedVersion(entry));
        }
    }

    /**
     * Returns the view of a node that has heard nothing yet.
     *
     * @return the view at revision 0
     */
    public static ConfigurationView empty() {
        return EMPTY;
    }

    /**
     * Returns the revision.
     *
     * @return the number of effective changes so far
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the revision that last changed a declaration; a change of declarations must be made
     * against it or a later one.
     *
     * @return a revision, at most {@link #revision()}
     */
    public long declarationsRevision() {
        return declarationsRevision;
    }

    /**
     * Returns the declarations in force.
     *
     * @return the declarations
     */
    public Declarations declarations() {
        return declarations;
    }

    /**
     * Returns the version moves that run and those that ended of late.
     *
     * @return the moves in the order of their ids
     */
    public List<VersionMove> versionMoves() {
        return List.copyOf(versionMoves);
    }

    /**
     * Finds a version move.
     *
     * @param id its id
     * @return the move, or empty if it is unknown or ended long ago
     */
    public Optional<VersionMove> findMove(OperationId id) {
        return versionMoves.stream().filter(move -> move.id().equals(id)).findFirst();
    }

    /**
     * Finds the version move that runs for a service.
     *
     * @param service the service
     * @return the move, or empty if none runs
     */
    public Optional<VersionMove> findRunningMove(ServiceId service) {
        return versionMoves.stream()
                .filter(move -> move.isRunning() && move.service().equals(service))
                .findFirst();
    }

    /**
     * Returns the versions that must get no work.
     *
     * @return the versions in the order of services and versions
     */
    public List<StoppedVersion> stoppedVersions() {
        return List.copyOf(stoppedVersions);
    }

    /**
     * Tells whether a version must get no work.
     *
     * @param service the service
     * @param version the version
     * @return true if it was stopped
     */
    public boolean isStopped(ServiceId service, VersionId version) {
        ConfigurationEntry entry = entries.get(EntryKeys.stoppedVersion(service, version));
        return entry != null && entry.hasStoppedVersion();
    }

    /**
     * Returns whether a data centre takes work.
     *
     * @param id the data centre, declared or not
     * @return its state, or the initial state if it was never changed
     */
    public DataCentreState dataCentreState(DataCentreId id) {
        ConfigurationEntry entry = entries.get(EntryKeys.dataCentre(id));
        return entry == null || !entry.hasDataCentre()
                ? DataCentreState.INITIAL
                : EntryCodec.toState(entry.getDataCentre());
    }

    /**
     * Returns the highest fencing number taken.
     *
     * @return the number, 0 if none was taken
     */
    public long fencingNumber() {
        ConfigurationEntry entry = entries.get(EntryKeys.FENCING);
        return entry == null ? 0 : entry.getFencing().getNumber();
    }

    /**
     * Returns the node that took the highest fencing number.
     *
     * @return the id of the node, or empty if no number was taken
     */
    public Optional<String> fencingHolder() {
        ConfigurationEntry entry = entries.get(EntryKeys.FENCING);
        return entry == null ? Optional.empty() : Optional.of(entry.getFencing().getHolder());
    }

    /**
     * Builds the delta for a node that holds an earlier revision.
     *
     * @param fromRevision the revision that the node holds, 0 for none
     * @return the entries changed since, or the whole configuration if removals since then are no
     *     longer known
     */
    public ConfigurationDelta delta(long fromRevision) {
        boolean whole = fromRevision < removalHorizon || fromRevision == 0;
        ConfigurationDelta.Builder delta =
                ConfigurationDelta.newBuilder()
                        .setFromRevision(whole ? 0 : fromRevision)
                        .setToRevision(revision)
                        .setDeclarationsRevision(declarationsRevision)
                        .setRemovalHorizon(removalHorizon)
                        .setWhole(whole);
        for (ConfigurationEntry entry : entries.values()) {
            if (whole || entry.getRevision() > fromRevision) {
                delta.addEntries(entry);
            }
        }
        return delta.build();
    }

    /**
     * Moves forward by a delta.
     *
     * @param delta the delta
     * @return the view at the revision of the delta, or this view if it is not older
     * @throws ConfigurationGapException if the delta begins after the revision of this view
     */
    public ConfigurationView applyDelta(ConfigurationDelta delta) throws ConfigurationGapException {
        if (delta.getToRevision() <= revision) {
            return this;
        }
        if (!delta.getWhole() && delta.getFromRevision() > revision) {
            throw new ConfigurationGapException(revision, delta.getFromRevision());
        }
        ConfigurationView base = delta.getWhole() ? EMPTY : this;
        SortedMap<String, ConfigurationEntry> merged = new TreeMap<>(base.entries);
        List<ConfigurationEntry> newer = new ArrayList<>();
        for (ConfigurationEntry entry : delta.getEntriesList()) {
            ConfigurationEntry held = merged.get(entry.getKey());
            if (held == null || held.getRevision() < entry.getRevision()) {
                merged.put(entry.getKey(), entry);
                newer.add(entry);
            }
        }
        long horizon = Math.max(base.removalHorizon, delta.getRemovalHorizon());
        purgeTombstones(merged, horizon);
        return new ConfigurationView(
                delta.getToRevision(),
                delta.getDeclarationsRevision(),
                horizon,
                merged,
                mergeDeclarations(base.declarations, newer));
    }

    SortedMap<String, ConfigurationEntry> entries() {
        return entries;
    }

    long removalHorizon() {
        return removalHorizon;
    }

    static void purgeTombstones(SortedMap<String, ConfigurationEntry> entries, long horizon) {
        entries.values().removeIf(entry -> isTombstone(entry) && entry.getRevision() <= horizon);
    }

    static boolean isTombstone(ConfigurationEntry entry) {
        return entry.getValueCase() == ValueCase.VALUE_NOT_SET;
    }

    static Declarations mergeDeclarations(
            Declarations base, Collection<ConfigurationEntry> changed) {
        Map<DeclarationKey, String> texts = new HashMap<>();
        Set<DeclarationKey> removed = new HashSet<>();
        for (ConfigurationEntry entry : changed) {
            if (entry.hasDeclaration()) {
                texts.put(
                        EntryCodec.keyOf(entry.getDeclaration()), entry.getDeclaration().getJson());
            } else if (isTombstone(entry)) {
                EntryKeys.parseDeclaration(entry.getKey()).ifPresent(removed::add);
            }
        }
        return texts.isEmpty() && removed.isEmpty() ? base : base.with(texts, removed);
    }

    @Override
    public String toString() {
        return "ConfigurationView[revision=" + revision + "]";
    }
}
