/** Buys and releases hosts. */
package org.cardamomthread.policy.capacity;
