package org.cardamomthread.experiments.execution;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Locale;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.execution.claim.ClaimCommand;
import org.cardamomthread.execution.claim.ClaimKey;
import org.cardamomthread.execution.claim.ClaimSettings;
import org.cardamomthread.execution.claim.ClaimStateMachine;
import org.cardamomthread.execution.claim.ResponseHeader;
import org.cardamomthread.execution.claim.StoredResponse;

/**
 * Measures the heap usage, the time to apply and the snapshot of claims with stored responses of
 * 200 bytes, as a function of their number. Single-threaded.
 */
public final class ClaimSizeExperiment {

    private static final List<Integer> SIZES = List.of(1_000, 10_000, 100_000, 400_000);
    private static final int BODY_BYTES = 200;
    private static final int DIGEST_BYTES = 32;
    private static final long START_MS = 1_733_299_200_000L;
    private static final double NS_PER_US = 1_000;
    private static final double NS_PER_MS = 1_000_000;

    private ClaimSizeExperiment() {}

    /**
     * Runs the measurement.
     *
     * @param arguments ignored
     */
    public static void main(String[] arguments) {
        measure(SIZES.get(SIZES.size() - 2));
        System.out.println("claims heap-bytes/claim us/command snapshot-bytes/claim snapshot-ms");
        for (int size : SIZES) {
            System.out.println(measure(size));
        }
    }

    private static String measure(int size) {
        long heapBefore = usedHeapBytes();
        ClaimStateMachine claims = new ClaimStateMachine(ClaimSettings.defaults());
        long startNs = System.nanoTime();
        for (int i = 0; i < size; i++) {
            claims.apply(2L * i + 1, claim(i).toBytes());
            claims.apply(2L * i + 2, complete(i).toBytes());
        }
        double applyUs = (System.nanoTime() - startNs) / NS_PER_US / (2.0 * size);
        long heapBytes = (usedHeapBytes() - heapBefore) / size;
        long snapshotStartNs = System.nanoTime();
        int snapshotBytes = claims.snapshot().length / size;
        double snapshotMs = (System.nanoTime() - snapshotStartNs) / NS_PER_MS;
        return String.format(
                Locale.ROOT,
                "%d %d %.2f %d %.1f",
                claims.size(),
                heapBytes,
                applyUs,
                snapshotBytes,
                snapshotMs);
    }

    private static ClaimCommand claim(int number) {
        return new ClaimCommand.Claim(
                key(number),
                ByteString.copyFrom(new byte[DIGEST_BYTES]),
                new NodeId("node-1"),
                "attempt-" + number,
                START_MS);
    }

    private static ClaimCommand complete(int number) {
        StoredResponse response =
                StoredResponse.of(
                        200,
                        List.of(new ResponseHeader("Content-Type", "application/json")),
                        new byte[BODY_BYTES]);
        return new ClaimCommand.Complete(key(number), "attempt-" + number, response, START_MS);
    }

    private static ClaimKey key(int number) {
        return new ClaimKey(
                new ClientAccountId("account-" + number % 5),
                new ServiceId("drops"),
                "7f9c1d5e-0000-4000-8000-" + number);
    }

    private static long usedHeapBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
