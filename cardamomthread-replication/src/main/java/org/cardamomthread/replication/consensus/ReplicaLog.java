package org.cardamomthread.replication.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cardamomthread.replication.generated.Entry;
import org.cardamomthread.replication.generated.EntryKind;
import org.cardamomthread.replication.generated.Membership;
import org.cardamomthread.replication.generated.SnapshotHeader;
import org.cardamomthread.replication.storage.RecoveredState;

/**
 * Holds the log entries after a base position in memory, and the memberships that they set.
 *
 * <p>Invariants: indexes are consecutive from the base; the base is at or before the snapshot's
 * index; there is one end offset per entry. Not thread-safe.
 */
final class ReplicaLog {

    private final List<Entry> entries = new ArrayList<>();

    /** Total size of the data from the first entry ever held up to and including each entry. */
    private final List<Long> endOffsets = new ArrayList<>();

    private final TreeMap<Long, GroupMembership> membershipsByIndex = new TreeMap<>();
    private SnapshotHeader snapshotHeader;
    private long baseIndex;
    private long baseTerm;
    private long baseOffset;
    private long firstUnsyncedIndex;

    ReplicaLog(RecoveredState recovered) {
        snapshotHeader = recovered.snapshotHeader();
        baseIndex = snapshotHeader.getIndex();
        baseTerm = snapshotHeader.getTerm();
        membershipsByIndex.put(
                baseIndex, GroupMembership.fromMessage(snapshotHeader.getMembership()));
        recovered.entries().forEach(this::append);
        firstUnsyncedIndex = lastIndex() + 1;
    }

    private void recordMembership(Entry entry) {
        if (entry.getKind() == EntryKind.MEMBERSHIP) {
            membershipsByIndex.put(
                    entry.getIndex(), GroupMembership.fromMessage(parseMembership(entry)));
        }
    }

    private static Membership parseMembership(Entry entry) {
        try {
            return Membership.parseFrom(entry.getData());
        } catch (com.google.protobuf.InvalidProtocolBufferException e) {
            throw new IllegalStateException(
                    "membership entry " + entry.getIndex() + " cannot be parsed", e);
        }
    }

    SnapshotHeader snapshotHeader() {
        return snapshotHeader;
    }

    long baseIndex() {
        return baseIndex;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).getTerm();
    }

    long syncedIndex() {
        return firstUnsyncedIndex - 1;
    }

    boolean isEmpty() {
        return lastIndex() == 0;
    }

    /** Returns the term of an entry; its index must be between the base and the last index. */
    long termAt(long index) {
        return index == baseIndex ? baseTerm : entryAt(index).getTerm();
    }

    boolean containsEntry(long index, long term) {
        return index >= baseIndex && index <= lastIndex() && termAt(index) == term;
    }

    private Entry entryAt(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    GroupMembership membership() {
        return membershipsByIndex.lastEntry().getValue();
    }

    long membershipIndex() {
        return membershipsByIndex.lastKey();
    }

    GroupMembership membershipAt(long index) {
        Map.Entry<Long, GroupMembership> latest = membershipsByIndex.floorEntry(index);
        return latest.getValue();
    }

    void append(Entry entry) {
        if (entry.getIndex() != lastIndex() + 1) {
            throw new IllegalArgumentException(
                    "entry "
                            + entry.getIndex()
                            + " must directly follow the last entry "
                            + lastIndex());
        }
        endOffsets.add(endOffset(lastIndex()) + entry.getData().size());
        entries.add(entry);
        recordMembership(entry);
    }

    private long endOffset(long index) {
        return index == baseIndex ? baseOffset : endOffsets.get((int) (index - baseIndex - 1));
    }

    /** Returns the total size of the data of entries; the range must be in the log. */
    long bytesBetween(long afterIndex, long toIndex) {
        return endOffset(toIndex) - endOffset(afterIndex);
    }

    /** Returns the lowest index after which entries up to another index have a limited size. */
    long firstIndexWithin(long toIndex, long maxBytes) {
        long index = toIndex;
        while (index > baseIndex && bytesBetween(index - 1, toIndex) <= maxBytes) {
            index--;
        }
        return index;
    }

    void truncateFrom(long index) {
        entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
        endOffsets.subList((int) (index - baseIndex - 1), endOffsets.size()).clear();
        membershipsByIndex.tailMap(index, true).clear();
        firstUnsyncedIndex = Math.min(firstUnsyncedIndex, index);
    }

    /**
     * Returns entries from an index on, limited in bytes; the first is returned whatever its size.
     */
    List<Entry> entriesFrom(long fromIndex, int maxBytes) {
        int from = (int) (fromIndex - baseIndex - 1);
        int to = from;
        long bytes = 0;
        while (to < entries.size()) {
            bytes += entries.get(to).getData().size();
            if (to > from && bytes > maxBytes) {
                break;
            }
            to++;
        }
        return List.copyOf(entries.subList(from, to));
    }

    List<Entry> entriesBetween(long afterIndex, long toIndex) {
        return List.copyOf(
                entries.subList((int) (afterIndex - baseIndex), (int) (toIndex - baseIndex)));
    }

    List<Entry> unsyncedEntries() {
        return entriesBetween(firstUnsyncedIndex - 1, lastIndex());
    }

    void markSynced() {
        firstUnsyncedIndex = lastIndex() + 1;
    }

    /** Records a saved snapshot and removes entries up to the requested base, if that is later. */
    void compact(SnapshotHeader header, long requestedBaseIndex) {
        snapshotHeader = header;
        long newBaseIndex = Math.max(baseIndex, requestedBaseIndex);
        GroupMembership membership = membershipAt(newBaseIndex);
        baseTerm = termAt(newBaseIndex);
        baseOffset = endOffset(newBaseIndex);
        entries.subList(0, (int) (newBaseIndex - baseIndex)).clear();
        endOffsets.subList(0, (int) (newBaseIndex - baseIndex)).clear();
        baseIndex = newBaseIndex;
        membershipsByIndex.headMap(newBaseIndex, true).clear();
        membershipsByIndex.put(newBaseIndex, membership);
    }

    /** Discards all entries and restarts the log after a snapshot. */
    void resetToSnapshot(SnapshotHeader header) {
        entries.clear();
        endOffsets.clear();
        baseOffset = 0;
        membershipsByIndex.clear();
        snapshotHeader = header;
        baseIndex = header.getIndex();
        baseTerm = header.getTerm();
        membershipsByIndex.put(baseIndex, GroupMembership.fromMessage(header.getMembership()));
        firstUnsyncedIndex = baseIndex + 1;
    }
}
