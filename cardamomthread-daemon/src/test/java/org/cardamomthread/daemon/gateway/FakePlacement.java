package org.cardamomthread.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.daemon.http.ProblemDetail;

/** Reserves a new endpoint for each attempt at once, up to a configurable number of attempts. */
final class FakePlacement implements Placement {

    private final List<PlacementRequest> requests = new ArrayList<>();
    private int maxPlaced = Integer.MAX_VALUE;
    private int releaseCount;
    private boolean canary;
    private String address = "127.0.0.1:1";

    void refuseAfter(int maxAttempts) {
        maxPlaced = maxAttempts;
    }

    void placeAt(String endpointAddress) {
        address = endpointAddress;
    }

    void placeOnCanary() {
        canary = true;
    }

    PlacementRequest getRequest(int index) {
        return requests.get(index);
    }

    int getReleaseCount() {
        return releaseCount;
    }

    @Override
    public PendingPlacement place(PlacementRequest request, PlacementListener listener) {
        requests.add(request);
        if (requests.size() > maxPlaced) {
            listener.onRefused(
                    ProblemDetail.createNotRun(503, "no-endpoint", "No endpoint", "start more"));
        } else {
            listener.onPlaced(new FakeReservation("runner-" + requests.size()));
        }
        return () -> {};
    }

    /** Counts the calls to {@link #release}. */
    private final class FakeReservation implements EndpointReservation {

        private final String name;

        FakeReservation(String name) {
            this.name = name;
        }

        @Override
        public EndpointId getEndpoint() {
            return new EndpointId(name);
        }

        @Override
        public long getIncarnation() {
            return 1;
        }

        @Override
        public String getAddress() {
            return address;
        }

        @Override
        public VersionId getVersion() {
            return new VersionId("v1");
        }

        @Override
        public boolean isCanary() {
            return canary;
        }

        @Override
        public boolean canResume() {
            return true;
        }

        @Override
        public boolean maySend() {
            return true;
        }

        @Override
        public void release(AttemptReport report) {
            releaseCount++;
        }
    }
}
