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
 * Holds the configuration at one revision.
 *
 * <p>Applying a delta to a view returns a view with a higher revision, never with a lower one.
 * Views with the same revision have the same content, regardless of the deltas that led to it. A
 * removed entry is kept as a tombstone, an entry without a value, so that deltas report the
 * removal. Tombstones up to the removal horizon, a revision, have been purged; a node whose view is
 * older gets the full configuration instead of a delta. Immutable and thread-safe.
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
     * Returns the view of a node that has not received a configuration yet.
     *
     * @return the view at revision 0
     */
    public static ConfigurationView empty() {
        return EMPTY;
    }

    /**
     * Returns the revision.
     *
     * @return the number of commands that have changed the configuration
     */
    public long revision() {
        return revision;
    }

    /**
     * Returns the revision of the latest change of a declaration. A command that changes
     * declarations must be based on this revision or a later one.
     *
     * @return a revision, at most {@link #revision()}
     */
    public long declarationsRevision() {
        return declarationsRevision;
    }

    /**
     * Returns the current declarations.
     *
     * @return the declarations
     */
    public Declarations declarations() {
        return declarations;
    }

    /**
     * Returns the running and the most recently ended version moves.
     *
     * @return the moves, ordered by id
     */
    public List<VersionMove> versionMoves() {
        return List.copyOf(versionMoves);
    }

    /**
     * Finds a version move.
     *
     * @param id the id of the move
     * @return the move, or empty if it is unknown or has been evicted after it ended
     */
    public Optional<VersionMove> findVersionMove(OperationId id) {
        return versionMoves.stream().filter(move -> move.id().equals(id)).findFirst();
    }

    /**
     * Finds the running version move of a service.
     *
     * @param service the service
     * @return the move, or empty if none is running
     */
    public Optional<VersionMove> findRunningVersionMove(ServiceId service) {
        return versionMoves.stream()
                .filter(move -> move.isRunning() && move.service().equals(service))
                .findFirst();
    }

    /**
     * Returns the stopped versions, which must not receive work.
     *
     * @return the versions, ordered by service and version
     */
    public List<StoppedVersion> stoppedVersions() {
        return List.copyOf(stoppedVersions);
    }

    /**
     * Returns whether a version is stopped and must not receive work.
     *
     * @param service the service
     * @param version the version
     * @return true if the version is stopped
     */
    public boolean isStopped(ServiceId service, VersionId version) {
        ConfigurationEntry entry = entries.get(EntryKeys.stoppedVersion(service, version));
        return entry != null && entry.hasStoppedVersion();
    }

    /**
     * Returns the state of a data centre.
     *
     * @param id id of the data centre, which need not be declared
     * @return its state, or {@link DataCentreState#INITIAL} if the state was never changed
     */
    public DataCentreState dataCentreState(DataCentreId id) {
        ConfigurationEntry entry = entries.get(EntryKeys.dataCentre(id));
        return entry == null || !entry.hasDataCentre()
                ? DataCentreState.INITIAL
                : EntryCodec.toState(entry.getDataCentre());
    }

    /**
     * Returns the highest fencing number issued.
     *
     * @return the number, 0 if none has been issued
     */
    public long fencingNumber() {
        ConfigurationEntry entry = entries.get(EntryKeys.FENCING);
        return entry == null ? 0 : entry.getFencing().getNumber();
    }

    /**
     * Returns the node to which the highest fencing number was issued.
     *
     * @return the id of the node, or empty if no number has been issued
     */
    public Optional<String> fencingHolder() {
        ConfigurationEntry entry = entries.get(EntryKeys.FENCING);
        return entry == null ? Optional.empty() : Optional.of(entry.getFencing().getHolder());
    }

    /**
     * Builds the delta for a node whose view has an earlier revision.
     *
     * @param fromRevision the revision of that view, 0 if the node has none
     * @return the entries changed since then, or the full configuration if tombstones of removals
     *     since then have been purged
     */
    public ConfigurationDelta deltaSince(long fromRevision) {
        boolean isFull = fromRevision < removalHorizon || fromRevision == 0;
        ConfigurationDelta.Builder delta =
                ConfigurationDelta.newBuilder()
                        .setFromRevision(isFull ? 0 : fromRevision)
                        .setToRevision(revision)
                        .setDeclarationsRevision(declarationsRevision)
                        .setRemovalHorizon(removalHorizon)
                        .setWhole(isFull);
        for (ConfigurationEntry entry : entries.values()) {
            if (isFull || entry.getRevision() > fromRevision) {
                delta.addEntries(entry);
            }
        }
        return delta.build();
    }

    /**
     * Applies a delta to this view.
     *
     * @param delta the delta
     * @return the view at the revision of the delta, or this view if its revision is not lower
     * @throws DeltaGapException if the delta starts after the revision of this view
     */
    public ConfigurationView applyDelta(ConfigurationDelta delta) throws DeltaGapException {
        if (delta.getToRevision() <= revision) {
            return this;
        }
        if (!delta.getWhole() && delta.getFromRevision() > revision) {
            throw new DeltaGapException(revision, delta.getFromRevision());
        }
        ConfigurationView base = delta.getWhole() ? EMPTY : this;
        SortedMap<String, ConfigurationEntry> merged = new TreeMap<>(base.entries);
        List<ConfigurationEntry> newerEntries = new ArrayList<>();
        for (ConfigurationEntry entry : delta.getEntriesList()) {
            ConfigurationEntry existing = merged.get(entry.getKey());
            if (existing == null || existing.getRevision() < entry.getRevision()) {
                merged.put(entry.getKey(), entry);
                newerEntries.add(entry);
            }
        }
        long newRemovalHorizon = Math.max(base.removalHorizon, delta.getRemovalHorizon());
        purgeTombstones(merged, newRemovalHorizon);
        return new ConfigurationView(
                delta.getToRevision(),
                delta.getDeclarationsRevision(),
                newRemovalHorizon,
                merged,
                mergeDeclarations(base.declarations, newerEntries));
    }

    SortedMap<String, ConfigurationEntry> entries() {
        return entries;
    }

    long removalHorizon() {
        return removalHorizon;
    }

    static void purgeTombstones(
            SortedMap<String, ConfigurationEntry> entries, long removalHorizon) {
        entries.values()
                .removeIf(entry -> isTombstone(entry) && entry.getRevision() <= removalHorizon);
    }

    static boolean isTombstone(ConfigurationEntry entry) {
        return entry.getValueCase() == ValueCase.VALUE_NOT_SET;
    }

    static Declarations mergeDeclarations(
            Declarations base, Collection<ConfigurationEntry> changed) {
        Map<DeclarationKey, String> jsonByKey = new HashMap<>();
        Set<DeclarationKey> removed = new HashSet<>();
        for (ConfigurationEntry entry : changed) {
            if (entry.hasDeclaration()) {
                jsonByKey.put(
                        EntryCodec.keyOf(entry.getDeclaration()), entry.getDeclaration().getJson());
            } else if (isTombstone(entry)) {
                EntryKeys.parseDeclaration(entry.getKey()).ifPresent(removed::add);
            }
        }
        return jsonByKey.isEmpty() && removed.isEmpty() ? base : base.with(jsonByKey, removed);
    }

    @Override
    public String toString() {
        return "ConfigurationView[revision=" + revision + "]";
    }
}
