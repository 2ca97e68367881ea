package org.cardamomthread.daemon.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.daemon.view.generated.VersionCounts;

/** Counts responses, failures and total response time by service and version. Not thread-safe. */
final class VersionResultCounter {

    private record Key(ServiceId service, VersionId version) {}

    private final Map<Key, VersionCounts.Builder> counts = new HashMap<>();

    void count(ServiceId service, VersionId version, boolean isFailure, long elapsedMs) {
        VersionCounts.Builder total =
                counts.computeIfAbsent(
                        new Key(service, version),
                        key ->
                                VersionCounts.newBuilder()
                                        .setService(service.value())
                                        .setVersion(version.value()));
        total.setAnswers(total.getAnswers() + 1);
        total.setFailures(total.getFailures() + (isFailure ? 1 : 0));
        total.setTotalMs(total.getTotalMs() + elapsedMs);
    }

    List<VersionCounts> snapshot() {
        List<VersionCounts> messages = new ArrayList<>();
        counts.values().forEach(total -> messages.add(total.build()));
        return messages;
    }
}
