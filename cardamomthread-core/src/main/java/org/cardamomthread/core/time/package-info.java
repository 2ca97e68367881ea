/** The clock as an interface. */
package org.cardamomthread.core.time;
