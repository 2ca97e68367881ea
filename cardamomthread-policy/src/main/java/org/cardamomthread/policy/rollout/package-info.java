/** Gradual rollout of a new version of a service, and its rollback. */
package org.cardamomthread.policy.rollout;
