/** The replicated configuration: its commands, state machine and the view that nodes hold. */
package org.cardamomthread.configuration.state;
