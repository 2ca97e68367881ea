/** Faults that a test sets on a stand-in. */
package org.cardamomthread.standin.fault;
