package org.cardamomthread.daemon.gateway;

import java.util.ArrayList;
import java.util.List;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.daemon.http.Problem;

/** Places every attempt on a new endpoint at once, up to a number of attempts. */
final class FakePlacement implements Placement {

    private final List<PlacementRequest> requests = new ArrayList<>();
    private int mostPlaced = Integer.MAX_VALUE;
    private int released;
    private boolean trial;

    void refuseAfter(int attempts) {
        mostPlaced = attempts;
    }

    void placeOnTrial() {
        trial = true;
    }

    PlacementRequest getRequest(int index) {
        return requests.get(index);
    }

    int getReleased() {
        return released;
    }

    @Override
    public PlacementTicket place(PlacementRequest request, PlacementListener listener) {
        requests.add(request);
        if (requests.size() > mostPlaced) {
            listener.onRefused(
                    Problem.createNotRun(503, "no-endpoint", "No endpoint", "start more"));
        } else {
            listener.onPlaced(new FakePlacedCall("runner-" + requests.size()));
        }
        return () -> {};
    }

    /** Counts its release. */
    private final class FakePlacedCall implements PlacedCall {

        private final String name;

        FakePlacedCall(String name) {
            this.name = name;
        }

        @Override
        public EndpointId getEndpoint() {
            return new EndpointId(name);
        }

        @Override
        public String getAddress() {
            return "127.0.0.1:1";
        }

        @Override
        public VersionId getVersion() {
            return new VersionId("v1");
        }

        @Override
        public boolean isTrial() {
            return trial;
        }

        @Override
        public boolean canResume() {
            return true;
        }

        @Override
        public boolean mayStart() {
            return true;
        }

        @Override
        public void release(AttemptReport report) {
            released++;
        }
    }
}
