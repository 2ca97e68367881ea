/** Endpoint announcements and their conversion to and from protocol messages. */
package org.cardamomthread.membership.endpoint;
