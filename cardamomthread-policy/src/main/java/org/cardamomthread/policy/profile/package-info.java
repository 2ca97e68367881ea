/** What a kind of traffic accepts in latency, cost and risk. */
package org.cardamomthread.policy.profile;
