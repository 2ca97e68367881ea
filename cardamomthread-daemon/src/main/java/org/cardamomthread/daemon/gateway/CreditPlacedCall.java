package org.cardamomthread.daemon.gateway;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.membership.endpoint.Capability;
import org.cardamomthread.membership.gateway.AvailableEndpoint;
import org.cardamomthread.membership.gateway.CreditHold;

/** Holds a leased credit for one attempt. Safe for use by several threads. */
final class CreditPlacedCall implements PlacedCall {

    private final CallTarget target;
    private final AvailableEndpoint endpoint;
    private final VersionId version;
    private final boolean trial;
    private final CreditHold hold;
    private final long expectedFirstByteMs;
    private final BiConsumer<CreditPlacedCall, AttemptReport> afterRelease;
    private final AtomicBoolean released = new AtomicBoolean();

    CreditPlacedCall(
            CallTarget target,
            AvailableEndpoint endpoint,
            VersionId version,
            boolean isTrial,
            CreditHold hold,
            long expectedFirstByteMs,
            BiConsumer<CreditPlacedCall, AttemptReport> afterRelease) {
        this.target = target;
        this.endpoint = endpoint;
        this.version = version;
        this.trial = isTrial;
        this.hold = hold;
        this.expectedFirstByteMs = expectedFirstByteMs;
        this.afterRelease = afterRelease;
    }

    CallTarget getTarget() {
        return target;
    }

    /** Returns the endpoint as it was known when it was chosen. */
    AvailableEndpoint getAvailable() {
        return endpoint;
    }

    @Override
    public EndpointId getEndpoint() {
        return endpoint.endpoint();
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
    public boolean isTrial() {
        return trial;
    }

    @Override
    public boolean canResume() {
        return endpoint.description().capabilities().contains(Capability.RESUME);
    }

    @Override
    public boolean mayStart() {
        return hold.mayStart();
    }

    @Override
    public void release(AttemptReport report) {
        if (released.compareAndSet(false, true)) {
            hold.release();
            afterRelease.accept(this, report.withExpectedFirstByteMs(expectedFirstByteMs));
        }
    }
}
