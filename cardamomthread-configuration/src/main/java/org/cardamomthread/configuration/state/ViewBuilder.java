package org.cardamomthread.configuration.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.cardamomthread.configuration.declaration.DeclarationKey;
import org.cardamomthread.configuration.generated.ConfigurationEntry;

/**
 * Collects the changes of one command and builds the next view, whose revision is one higher.
 *
 * <p>Not thread-safe.
 */
final class ViewBuilder {

    /**
     * The maximum number of tombstones kept for deltas. A node that has missed more removals gets
     * the full configuration.
     */
    static final int MAX_TOMBSTONES = 4096;

    private final ConfigurationView base;
    private final long nextRevision;
    private final SortedMap<String, ConfigurationEntry> entries;
    private final List<ConfigurationEntry> changedEntries = new ArrayList<>();
    private boolean declarationsChanged;

    ViewBuilder(ConfigurationView base) {
        this.base = base;
        this.nextRevision = base.revision() + 1;
        this.entries = new TreeMap<>(base.entries());
    }

    void put(ConfigurationEntry.Builder entry) {
        ConfigurationEntry entryWithRevision = entry.setRevision(nextRevision).build();
        entries.put(entryWithRevision.getKey(), entryWithRevision);
        changedEntries.add(entryWithRevision);
    }

    void putDeclaration(DeclarationKey key, String json) {
        declarationsChanged = true;
        put(
                ConfigurationEntry.newBuilder()
                        .setKey(EntryKeys.declaration(key))
                        .setDeclaration(EntryCodec.toMessage(key, json)));
    }

    void removeDeclaration(DeclarationKey key) {
        declarationsChanged = true;
        remove(EntryKeys.declaration(key));
    }

    void remove(String key) {
        put(ConfigurationEntry.newBuilder().setKey(key));
    }

    boolean isEmpty() {
        return changedEntries.isEmpty();
    }

    ConfigurationView build() {
        long newRemovalHorizon = Math.max(base.removalHorizon(), computeRemovalHorizon());
        ConfigurationView.purgeTombstones(entries, newRemovalHorizon);
        return new ConfigurationView(
                nextRevision,
                declarationsChanged ? nextRevision : base.declarationsRevision(),
                newRemovalHorizon,
                entries,
                ConfigurationView.mergeDeclarations(base.declarations(), changedEntries));
    }

    private long computeRemovalHorizon() {
        List<ConfigurationEntry> tombstones =
                entries.values().stream().filter(ConfigurationView::isTombstone).toList();
        int excess = tombstones.size() - MAX_TOMBSTONES;
        if (excess <= 0) {
            return 0;
        }
        return tombstones.stream()
                .sorted(Comparator.comparingLong(ConfigurationEntry::getRevision))
                .skip(excess - 1L)
                .findFirst()
                .orElseThrow()
                .getRevision();
    }
}
