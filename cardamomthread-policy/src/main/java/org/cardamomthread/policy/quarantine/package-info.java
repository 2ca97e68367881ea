/**
 * Quarantine of prompt parts under which endpoints crash: the evidence for it, and the trials by
 * which a part is released.
 */
package org.cardamomthread.policy.quarantine;
