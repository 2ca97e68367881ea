package org.cardamomthread.daemon.gateway;

import java.util.Objects;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.policy.routing.PromptPrefix;

/**
 * Identifies the prompt of one request. Immutable.
 *
 * @param trial identifies the request among those of all nodes if it is sent as a trial
 * @param service the called service
 * @param prefix the blocks of the prompt; empty for plain services
 */
public record GuardedPrompt(String trial, ServiceId service, PromptPrefix prefix) {

    /** Checks that no component is null. */
    public GuardedPrompt {
        Objects.requireNonNull(trial, "trial must not be null");
        Objects.requireNonNull(service, "service must not be null");
        Objects.requireNonNull(prefix, "prefix must not be null");
    }
}
