/** cardamomthreadd, the node daemon. */
package org.cardamomthread.daemon;
