/** Fault injection for the stand-ins. */
package org.cardamomthread.standin.fault;
