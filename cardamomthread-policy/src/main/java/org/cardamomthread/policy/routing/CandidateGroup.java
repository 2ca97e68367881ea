package org.cardamomthread.policy.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.policy.profile.PriceClass;

/**
 * Groups the endpoints of one version that share data centre, price class and price.
 *
 * <p>Those with a credit are kept in a list with constant-time removal: the last entry takes the
 * position of the removed one. Guarded by the lock of {@link CandidateIndex}.
 */
final class CandidateGroup {

    static final int NOT_AVAILABLE = -1;

    private final Key key;
    private final List<CandidateEntry> available = new ArrayList<>();
    private int memberCount;

    CandidateGroup(Key key) {
        this.key = key;
    }

    Key key() {
        return key;
    }

    void addMember() {
        memberCount++;
    }

    void removeMember() {
        memberCount--;
    }

    boolean isEmpty() {
        return memberCount == 0;
    }

    int availableCount() {
        return available.size();
    }

    void makeAvailable(CandidateEntry entry) {
        if (entry.availableIndex() == NOT_AVAILABLE) {
            entry.setAvailableIndex(available.size());
            available.add(entry);
        }
    }

    void makeUnavailable(CandidateEntry entry) {
        int index = entry.availableIndex();
        if (index == NOT_AVAILABLE) {
            return;
        }
        CandidateEntry last = available.remove(available.size() - 1);
        if (last != entry) {
            available.set(index, last);
            last.setAvailableIndex(index);
        }
        entry.setAvailableIndex(NOT_AVAILABLE);
    }

    void addAll(List<EndpointCandidate> candidates) {
        for (CandidateEntry entry : available) {
            candidates.add(entry.candidate());
        }
    }

    /**
     * Draws endpoints at random, with replacement, and adds those that were not selected before.
     */
    void addSample(
            List<EndpointCandidate> candidates,
            Set<EndpointId> selectedIds,
            int sampleCount,
            RandomGenerator random) {
        for (int i = 0; i < sampleCount && !available.isEmpty(); i++) {
            EndpointCandidate candidate =
                    available.get(random.nextInt(available.size())).candidate();
            if (selectedIds.add(candidate.id())) {
                candidates.add(candidate);
            }
        }
    }

    /**
     * Identifies a group by the attributes that its endpoints share. Immutable.
     *
     * @param dataCentre data centre where the endpoints run
     * @param priceClass price class of their hosts
     * @param pricePerHour price of a host per hour
     */
    record Key(DataCentreId dataCentre, PriceClass priceClass, double pricePerHour) {

        static Key of(EndpointCandidate candidate) {
            return new Key(
                    candidate.dataCentre(),
                    candidate.price().priceClass(),
                    candidate.price().pricePerHour());
        }

        boolean matches(EndpointCandidate candidate) {
            return dataCentre.equals(candidate.dataCentre())
                    && priceClass == candidate.price().priceClass()
                    && pricePerHour == candidate.price().pricePerHour();
        }
    }
}
