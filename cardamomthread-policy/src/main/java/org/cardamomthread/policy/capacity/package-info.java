/** Purchase and release of hosts. */
package org.cardamomthread.policy.capacity;
