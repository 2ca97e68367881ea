package org.cardamomthread.experiments.replication;

import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.LongAdder;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.SystemTimeSource;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.ReplicationGroup;
import org.cardamomthread.replication.ReplicationSettings;
import org.cardamomthread.replication.StateMachine;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.replication.runtime.DefaultReplicationGroup;
import org.cardamomthread.replication.storage.FileLogStorage;

/**
 * Runs all voters of a replication group in this process, each with its own folder.
 *
 * <p>Messages are passed directly between threads, without a network. Thread-safe.
 */
final class LocalGroup implements AutoCloseable {

    private static final GroupId GROUP = new GroupId("measured");
    private static final long POLL_MS = 1;

    private final Map<NodeId, ReplicationGroup> groups = new LinkedHashMap<>();
    private final LongAdder sentBytes = new LongAdder();

    /** Counts the applied commands. */
    private static final class CountingStateMachine implements StateMachine {
        private long count;

        @Override
        public byte[] apply(long index, byte[] command) {
            count++;
            return new byte[0];
        }

        @Override
        public byte[] snapshot() {
            return ByteBuffer.allocate(Long.BYTES).putLong(count).array();
        }

        @Override
        public void restore(byte[] state) {
            count = ByteBuffer.wrap(state).getLong();
        }
    }

    LocalGroup(
            Path folder,
            int voters,
            long electionTimeoutMs,
            long heartbeatMs,
            int snapshotEntries) {
        List<NodeId> nodes = new ArrayList<>();
        for (int i = 1; i <= voters; i++) {
            nodes.add(new NodeId("node-" + i));
        }
        ReplicationSettings settings =
                ReplicationSettings.withDefaults(nodes)
                        .withElectionTimeoutAndHeartbeat(electionTimeoutMs, heartbeatMs)
                        .withSnapshotIntervalEntries(snapshotEntries);
        for (NodeId node : nodes) {
            groups.put(node, create(folder.resolve(node.value()), node, settings));
        }
    }

    private ReplicationGroup create(Path folder, NodeId node, ReplicationSettings settings) {
        return new DefaultReplicationGroup(
                GROUP,
                node,
                settings,
                new FileLogStorage(folder),
                new CountingStateMachine(),
                (to, message) -> {
                    sentBytes.add(message.length);
                    groups.get(to).receive(node, message);
                },
                new SystemTimeSource(),
                new Random(node.hashCode()));
    }

    void start() throws StorageException {
        for (ReplicationGroup group : groups.values()) {
            group.start();
        }
    }

    /** Waits for a leader with a lease, which has applied all committed entries. */
    ReplicationGroup awaitLeader() throws InterruptedException {
        while (true) {
            for (ReplicationGroup group : groups.values()) {
                if (group.status().isLeaseHeld()) {
                    return group;
                }
            }
            Thread.sleep(POLL_MS);
        }
    }

    long sentBytes() {
        return sentBytes.sum();
    }

    @Override
    public void close() {
        groups.values().forEach(ReplicationGroup::close);
    }
}
