/** The node daemon cardamomthreadd: startup, shutdown and the wiring of its components. */
package org.cardamomthread.daemon;
