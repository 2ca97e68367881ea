package org.cardamomthread.configuration.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.cardamomthread.configuration.declaration.DeclarationKey;
import org.cardamomthread.configuration.generated.ConfigurationEntry;

/**
 * Gathers the changes of one command and makes the next view, whose revision is one higher.
 *
 * <p>Confined to one thread.
 */
final class ViewBuilder {

    /** The most removals kept for deltas; a node that has missed more gets the whole. */
    static final int MAX_TOMBSTONES = 4096;

    private final ConfigurationView base;
    private final long nextRevision;
    private final SortedMap<String, ConfigurationEntry> entries;
    private final List<ConfigurationEntry> changed = new ArrayList<>();
    private boolean declarationsChanged;

    ViewBuilder(ConfigurationView base) {
        this.base = base;
        this.nextRevision = base.revision() + 1;
        this.entries = new TreeMap<>(base.entries());
    }

    void put(ConfigurationEntry.Builder entry) {
        ConfigurationEntry stamped = entry.setRevision(nextRevision).build();
        entries.put(stamped.getKey(), stamped);
        changed.add(stamped);
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
        return changed.isEmpty();
    }

    ConfigurationView build() {
        long horizon = Math.max(base.removalHorizon(), computeRemovalHorizon());
        ConfigurationView.purgeTombstones(entries, horizon);
        return new ConfigurationView(
                nextRevision,
                declarationsChanged ? nextRevision : base.declarationsRevision(),
                horizon,
                entries,
                ConfigurationView.mergeDeclarations(base.declarations(), changed));
    }

    private long computeRemovalHorizon() {
        List<ConfigurationEntry> removals =
                entries.values().stream().filter(ConfigurationView::isTombstone).toList();
        int excess = removals.size() - MAX_TOMBSTONES;
        if (excess <= 0) {
            return 0;
        }
        return removals.stream()
                .sorted(Comparator.comparingLong(ConfigurationEntry::getRevision))
                .skip(excess - 1L)
                .findFirst()
                .orElseThrow()
                .getRevision();
    }
}
