/**
 * Availability of endpoints to one node: what they have reported joined with what they have stated
 * in their responses.
 */
package org.cardamomthread.policy.availability;
