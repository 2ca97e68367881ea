package org.cardamomthread.policy.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.policy.profile.PriceClass;

/**
 * Holds the endpoints of one version that share data centre, price class and price, those with a
 * credit in an array from which they are taken out in constant time. Guarded by the index.
 */
final class CandidateGroup {

    static final int ABSENT = -1;

    private final Key key;
    private final List<CandidateEntry> available = new ArrayList<>();
    private int members;

    CandidateGroup(Key key) {
        this.key = key;
    }

    Key key() {
        return key;
    }

    void addMember() {
        members++;
    }

    void removeMember() {
        members--;
    }

    boolean isEmpty() {
        return members == 0;
    }

    int available() {
        return available.size();
    }

    void makeAvailable(CandidateEntry entry) {
        if (entry.place() == ABSENT) {
            entry.setPlace(available.size());
            available.add(entry);
        }
    }

    void makeUnavailable(CandidateEntry entry) {
        int place = entry.place();
        if (place == ABSENT) {
            return;
        }
        CandidateEntry last = available.remove(available.size() - 1);
        if (last != entry) {
            available.set(place, last);
            last.setPlace(place);
        }
        entry.setPlace(ABSENT);
    }

    void addAll(List<EndpointCandidate> set) {
        for (CandidateEntry entry : available) {
            set.add(entry.candidate());
        }
    }

    /** Adds up to so many random endpoints that are not in the set yet. */
    void addSample(
            List<EndpointCandidate> set,
            Set<EndpointId> chosen,
            int samples,
            RandomGenerator random) {
        for (int i = 0; i < samples && !available.isEmpty(); i++) {
            EndpointCandidate candidate =
                    available.get(random.nextInt(available.size())).candidate();
            if (chosen.add(candidate.id())) {
                set.add(candidate);
            }
        }
    }

    /**
     * Names what the endpoints of a group share. Immutable.
     *
     * @param dataCentre where they run
     * @param priceClass how their hosts are paid for
     * @param pricePerHour price of a host an hour
     */
    record Key(DataCentreId dataCentre, PriceClass priceClass, double pricePerHour) {

        static Key of(EndpointCandidate candidate) {
            return new Key(
                    candidate.dataCentre(),
                    candidate.price().priceClass(),
                    candidate.price().pricePerHour());
        }

        boolean covers(EndpointCandidate candidate) {
            return dataCentre.equals(candidate.dataCentre())
                    && priceClass == candidate.price().priceClass()
                    && pricePerHour == candidate.price().pricePerHour();
        }
    }
}
