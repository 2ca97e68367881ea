package org.cardamomthread.daemon.rollout;

import java.util.HashMap;
import java.util.Map;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.OperationId;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.daemon.generated.EvidenceCounts;
import org.cardamomthread.daemon.generated.EvidenceReport;
import org.cardamomthread.daemon.generated.StopMessage;
import org.cardamomthread.policy.rollout.CallCounts;
import org.cardamomthread.policy.rollout.EvidenceKey;
import org.cardamomthread.policy.rollout.RolloutEvidence;
import org.cardamomthread.policy.rollout.RolloutReason;
import org.cardamomthread.policy.rollout.StopNotice;
import org.cardamomthread.policy.rollout.VersionRole;

/** Converts rollout evidence to and from protocol buffer messages. Stateless and thread-safe. */
final class EvidenceCodec {

    private EvidenceCodec() {}

    static EvidenceReport toMessage(OperationId move, RolloutEvidence evidence) {
        EvidenceReport.Builder report = EvidenceReport.newBuilder().setMoveId(move.value());
        evidence.counts()
                .forEach(
                        (key, counts) ->
                                report.addCounts(
                                        EvidenceCounts.newBuilder()
                                                .setRoute(key.route().value())
                                                .setIsNewVersion(key.role() == VersionRole.NEW)
                                                .setEpoch(key.epoch())
                                                .setCalls(counts.calls())
                                                .setFailures(counts.failures())
                                                .setTimedCalls(counts.timedCalls())
                                                .setSlowFirstTokens(counts.slowFirstTokens())
                                                .setSlowTokenGaps(counts.slowTokenGaps())));
        evidence.stop().ifPresent(stop -> report.setStop(toMessage(stop)));
        return report.build();
    }

    static RolloutEvidence toEvidence(NodeId node, EvidenceReport report) {
        Map<EvidenceKey, CallCounts> counts = new HashMap<>();
        for (EvidenceCounts message : report.getCountsList()) {
            EvidenceKey key =
                    new EvidenceKey(
                            node,
                            new RouteId(message.getRoute()),
                            message.getIsNewVersion() ? VersionRole.NEW : VersionRole.OLD,
                            message.getEpoch());
            counts.put(
                    key,
                    new CallCounts(
                            message.getCalls(),
                            message.getFailures(),
                            message.getTimedCalls(),
                            message.getSlowFirstTokens(),
                            message.getSlowTokenGaps()));
        }
        RolloutEvidence evidence = RolloutEvidence.of(counts);
        return report.hasStop() ? evidence.withStop(toStop(report.getStop())) : evidence;
    }

    static StopMessage toMessage(StopNotice stop) {
        return StopMessage.newBuilder()
                .setObserver(stop.observer().value())
                .setReason(stop.reason().name())
                .build();
    }

    static StopNotice toStop(StopMessage message) {
        RolloutReason reason = RolloutReason.valueOf(message.getReason());
        return new StopNotice(new NodeId(message.getObserver()), reason);
    }
}
