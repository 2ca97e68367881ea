package org.cardamomthread.daemon.quarantine;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.cardamomthread.core.id.Identifiers;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.daemon.generated.PromptBlockId;
import org.cardamomthread.daemon.generated.QuarantinedBlock;
import org.cardamomthread.policy.quarantine.PromptPartKey;
import org.cardamomthread.policy.quarantine.QuarantineEntry;

/** Converts quarantined prompt blocks to and from messages. Stateless and thread-safe. */
final class PromptBlockCodec {

    private PromptBlockCodec() {}

    static PromptBlockId encode(PromptPartKey key) {
        return PromptBlockId.newBuilder()
                .setService(key.service().value())
                .setBlock(key.part())
                .build();
    }

    static Optional<PromptPartKey> decode(PromptBlockId id) {
        if (!Identifiers.isValid(id.getService())
                || id.getBlock().length() > PromptPartKey.MAX_PART_LENGTH) {
            return Optional.empty();
        }
        return Optional.of(PromptPartKey.of(new ServiceId(id.getService()), id.getBlock()));
    }

    static List<QuarantinedBlock> encodeAll(Collection<QuarantineEntry> entries) {
        return entries.stream()
                .map(
                        entry ->
                                QuarantinedBlock.newBuilder()
                                        .setId(encode(entry.key()))
                                        .setCrashes(entry.crashes())
                                        .setConfirmedCrashes(entry.confirmedCrashes())
                                        .setLostEndpoints(entry.lostEndpoints())
                                        .setVouched(entry.isVouched())
                                        .setHasCompanions(entry.hasCompanions())
                                        .setTrialWaitMs(entry.trialWaitMs())
                                        .build())
                .toList();
    }

    /** Returns the valid entries. */
    static List<QuarantineEntry> decodeAll(Collection<QuarantinedBlock> blocks) {
        return blocks.stream()
                .flatMap(
                        block ->
                                decode(block.getId())
                                        .map(
                                                key ->
                                                        new QuarantineEntry(
                                                                key,
                                                                block.getCrashes(),
                                                                block.getConfirmedCrashes(),
                                                                block.getLostEndpoints(),
                                                                block.getVouched(),
                                                                block.getHasCompanions(),
                                                                block.getTrialWaitMs()))
                                        .stream())
                .toList();
    }
}
