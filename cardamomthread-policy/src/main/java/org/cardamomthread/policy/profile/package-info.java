/** Traffic profiles: the latency, cost and risk that a kind of traffic accepts. */
package org.cardamomthread.policy.profile;
