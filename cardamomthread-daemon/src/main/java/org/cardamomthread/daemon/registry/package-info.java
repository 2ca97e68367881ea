/** Which endpoints exist, as the control nodes hear it from the endpoints themselves. */
package org.cardamomthread.daemon.registry;
