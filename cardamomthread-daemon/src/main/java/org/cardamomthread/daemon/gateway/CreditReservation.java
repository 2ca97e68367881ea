package org.cardamomthread.daemon.gateway;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.membership.endpoint.Capability;
import org.cardamomthread.membership.gateway.CreditPermit;
import org.cardamomthread.membership.gateway.EndpointSnapshot;

/** Reserves an endpoint by a leased credit. Thread-safe. */
final class CreditReservation implements EndpointReservation {

    private final CallTarget target;
    private final EndpointSnapshot endpoint;
    private final VersionId version;
    private final boolean canary;
    private final CreditPermit permit;
    private final long expectedFirstByteMs;
    private final BiConsumer<CreditReservation, AttemptReport> afterRelease;
    private final AtomicBoolean released = new AtomicBoolean();

    CreditReservation(
            CallTarget target,
            EndpointSnapshot endpoint,
            VersionId version,
            boolean isCanary,
            CreditPermit permit,
            long expectedFirstByteMs,
            BiConsumer<CreditReservation, AttemptReport> afterRelease) {
        this.target = target;
        this.endpoint = endpoint;
        this.version = version;
        this.canary = isCanary;
        this.permit = permit;
        this.expectedFirstByteMs = expectedFirstByteMs;
        this.afterRelease = afterRelease;
    }

    CallTarget getTarget() {
        return target;
    }

    /** Returns the endpoint's state at the time it was selected. */
    EndpointSnapshot getEndpointSnapshot() {
        return endpoint;
    }

    @Override
    public EndpointId getEndpoint() {
        return endpoint.endpoint();
    }

    @Override
    public long getIncarnation() {
        return endpoint.incarnation();
    }

    @Override
    public String getAddress() {
        return endpoint.description().address();
    }

    @Override
    public VersionId getVersion() {
        return version;
    }

    @Override
    public boolean isCanary() {
        return canary;
    }

    @Override
    public boolean canResume() {
        return endpoint.description().capabilities().contains(Capability.RESUME);
    }

    @Override
    public boolean maySend() {
        return permit.maySend();
    }

    @Override
    public void release(AttemptReport report) {
        if (released.compareAndSet(false, true)) {
            permit.release();
            afterRelease.accept(this, report.withExpectedFirstByteMs(expectedFirstByteMs));
        }
    }
}
