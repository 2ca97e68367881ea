/** Tests against processes over loopback. */
package org.cardamomthread.processes;
