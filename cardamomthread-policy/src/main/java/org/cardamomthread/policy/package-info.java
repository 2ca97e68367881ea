/** Decisions on routing, admission, rollouts and capacity. */
package org.cardamomthread.policy;
