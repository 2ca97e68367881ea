package org.cardamomthread.daemon.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Collection;
import java.util.OptionalLong;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dispatch.EndpointFailureException;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;
import org.cardamomthread.daemon.http.RetryAfter;
import org.cardamomthread.membership.gateway.EndpointSnapshot;
import org.cardamomthread.policy.availability.Availability;
import org.cardamomthread.policy.availability.EndpointAvailability;
import org.cardamomthread.policy.availability.EndpointAvailability.Incarnation;
import org.cardamomthread.policy.availability.EndpointAvailability.ReportedState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks which endpoints want no requests from this gateway, from their announcements and from the
 * pauses that they ask for when they reject a request. Thread-safe.
 */
final class EndpointAvailabilityTracker {

    private static final Logger LOGGER = LoggerFactory.getLogger(EndpointAvailabilityTracker.class);
    private static final int STATUS_UNAVAILABLE = 503;

    private final EndpointAvailability availability = new EndpointAvailability();
    private final TimeSource timeSource;

    EndpointAvailabilityTracker(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /** Returns whether requests may be sent to an endpoint. */
    boolean isAvailable(EndpointSnapshot endpoint) {
        return assess(endpoint).isAvailable();
    }

    /** Returns whether a request that was placed before may still be sent. */
    boolean maySend(EndpointReservation reservation) {
        return reservation.maySend()
                && availability
                        .assess(
                                incarnationOf(reservation),
                                ReportedState.ACCEPTING,
                                timeSource.monotonicMs())
                        .isAvailable();
    }

    /**
     * Returns the time until one of the endpoints is available again, in milliseconds, or empty if
     * one is available or none is merely held back.
     */
    OptionalLong pauseMs(Collection<EndpointSnapshot> endpoints) {
        return Availability.pauseMs(
                endpoints.stream().map(this::assess).toList(), timeSource.monotonicMs());
    }

    /** Returns a listener that records the pause that a response asks for, then delegates. */
    EndpointResponseListener observe(
            EndpointReservation reservation, EndpointResponseListener delegate) {
        return new RecordingListener(reservation, delegate);
    }

    private Availability assess(EndpointSnapshot endpoint) {
        ReportedState reported =
                endpoint.description().state().acceptsRequests()
                        ? ReportedState.ACCEPTING
                        : ReportedState.DRAINING;
        Incarnation incarnation = new Incarnation(endpoint.endpoint(), endpoint.incarnation());
        return availability.assess(incarnation, reported, timeSource.monotonicMs());
    }

    private void recordPause(EndpointReservation reservation, HttpHeaders headers) {
        RetryAfter retryAfter = RetryAfter.of(headers);
        if (!retryAfter.ignoredValues().isEmpty()) {
            LOGGER.atInfo()
                    .addKeyValue("endpoint", reservation.getEndpoint())
                    .addKeyValue("values", retryAfter.ignoredValues())
                    .log("ignored a retry delay that is no number of seconds");
        }
        retryAfter
                .delayMs()
                .ifPresent(
                        pauseMs -> {
                            availability.recordPause(
                                    incarnationOf(reservation), pauseMs, timeSource.monotonicMs());
                            LOGGER.atInfo()
                                    .addKeyValue("endpoint", reservation.getEndpoint())
                                    .addKeyValue("pauseMs", pauseMs)
                                    .log("endpoint is held back, as it asked for a pause");
                        });
    }

    private static Incarnation incarnationOf(EndpointReservation reservation) {
        return new Incarnation(reservation.getEndpoint(), reservation.getIncarnation());
    }

    /** Records the pause that the response of one attempt asks for. Not thread-safe. */
    private final class RecordingListener implements EndpointResponseListener {

        private final EndpointReservation reservation;
        private final EndpointResponseListener delegate;

        RecordingListener(EndpointReservation reservation, EndpointResponseListener delegate) {
            this.reservation = reservation;
            this.delegate = delegate;
        }

        @Override
        public void onHead(int status, HttpHeaders headers) {
            if (status == STATUS_UNAVAILABLE) {
                recordPause(reservation, headers);
            }
            delegate.onHead(status, headers);
        }

        @Override
        public void onBodyPart(byte[] part) {
            delegate.onBodyPart(part);
        }

        @Override
        public void onComplete() {
            delegate.onComplete();
        }

        @Override
        public void onFailure(EndpointFailureException failure) {
            delegate.onFailure(failure);
        }
    }
}
