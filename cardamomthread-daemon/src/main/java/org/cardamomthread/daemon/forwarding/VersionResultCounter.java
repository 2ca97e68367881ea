package org.cardamomthread.daemon.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.daemon.view.generated.VersionCounts;

/** Counts answers and failures by service and version. Used by one thread at a time. */
final class VersionResultCounter {

    private record Key(ServiceId service, VersionId version) {}

    private final Map<Key, VersionCounts.Builder> counts = new HashMap<>();

    void count(ServiceId service, VersionId version, boolean isFailure, long elapsedMs) {
        VersionCounts.Builder sum =
                counts.computeIfAbsent(
                        new Key(service, version),
                        key ->
                                VersionCounts.newBuilder()
                                        .setService(service.value())
                                        .setVersion(version.value()));
        sum.setAnswers(sum.getAnswers() + 1);
        sum.setFailures(sum.getFailures() + (isFailure ? 1 : 0));
        sum.setTotalMs(sum.getTotalMs() + elapsedMs);
    }

    List<VersionCounts> snapshot() {
        List<VersionCounts> messages = new ArrayList<>();
        counts.values().forEach(sum -> messages.add(sum.build()));
        return messages;
    }
}
