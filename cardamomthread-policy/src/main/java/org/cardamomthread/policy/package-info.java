/** Routing, admission, rollout and capacity decisions. */
package org.cardamomthread.policy;
