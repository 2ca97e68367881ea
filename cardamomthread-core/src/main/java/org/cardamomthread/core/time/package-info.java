/** Abstraction of the wall clock and the monotonic clock. */
package org.cardamomthread.core.time;
