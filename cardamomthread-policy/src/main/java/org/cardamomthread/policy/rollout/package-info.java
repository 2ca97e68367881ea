/** Moves a service from one version to another, or takes the new version back. */
package org.cardamomthread.policy.rollout;
