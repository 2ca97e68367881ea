package org.cardamomthread.experiments.replay;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.cardamomthread.core.hash.RendezvousHash;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.policy.routing.EndpointCandidate;
import org.cardamomthread.policy.routing.ScoringEndpointSelector;
import org.cardamomthread.policy.routing.SelectionRequest;

/** The strategies compared by the replays. */
final class Strategies {

    static final VersionId VERSION = new VersionId("v1");

    private Strategies() {}

    static List<Strategy> all() {
        return List.of(
                new PolicyStrategy(),
                new RoundRobin(),
                new LeastLoaded("least-loaded", true),
                new SessionHash(),
                new LeastLoaded("no-slow-start", false));
    }

    static SelectionRequest request(Call call) {
        return new SelectionRequest(
                call.profile(),
                VERSION,
                call.promptTokens(),
                call.expectedOutputTokens(),
                call.prefix(),
                Set.of());
    }

    private static double relativeLoad(EndpointCandidate candidate) {
        return (double) candidate.outstandingRequests() / candidate.load().concurrencyLimit();
    }

    /** Uses the selection, deferral and migration decisions of the policy module. */
    private static final class PolicyStrategy implements Strategy {

        @Override
        public String name() {
            return "cardamomthread";
        }

        @Override
        public Optional<EndpointCandidate> selectEndpoint(
                Call call,
                List<EndpointCandidate> usable,
                SimulatedGatewayView view,
                long nowMs,
                Random random) {
            return new ScoringEndpointSelector(view.prefixes())
                    .select(request(call), usable, nowMs, random)
                    .selected();
        }

        @Override
        public boolean usesPrefixes() {
            return true;
        }

        @Override
        public boolean defersCalls() {
            return true;
        }

        @Override
        public boolean migratesCalls() {
            return true;
        }
    }

    /** Selects the endpoints in turn, in the order of their identifiers. */
    private static final class RoundRobin implements Strategy {

        private int next;

        @Override
        public String name() {
            return "round-robin";
        }

        @Override
        public Optional<EndpointCandidate> selectEndpoint(
                Call call,
                List<EndpointCandidate> usable,
                SimulatedGatewayView view,
                long nowMs,
                Random random) {
            List<EndpointCandidate> ordered =
                    usable.stream().sorted(Comparator.comparing(EndpointCandidate::id)).toList();
            return ordered.isEmpty()
                    ? Optional.empty()
                    : Optional.of(ordered.get(next++ % ordered.size()));
        }
    }

    /** Selects the endpoint with the fewest requests relative to its announced limit. */
    private record LeastLoaded(String name, boolean usesSlowStart) implements Strategy {

        @Override
        public Optional<EndpointCandidate> selectEndpoint(
                Call call,
                List<EndpointCandidate> usable,
                SimulatedGatewayView view,
                long nowMs,
                Random random) {
            return usable.stream()
                    .min(
                            Comparator.comparingDouble(Strategies::relativeLoad)
                                    .thenComparing(EndpointCandidate::id));
        }
    }

    /** Selects an endpoint by a rendezvous hash of the session. */
    private static final class SessionHash implements Strategy {

        @Override
        public String name() {
            return "session-hash";
        }

        @Override
        public Optional<EndpointCandidate> selectEndpoint(
                Call call,
                List<EndpointCandidate> usable,
                SimulatedGatewayView view,
                long nowMs,
                Random random) {
            return RendezvousHash.choose(
                    call.session(), usable, candidate -> candidate.id().value());
        }
    }
}
