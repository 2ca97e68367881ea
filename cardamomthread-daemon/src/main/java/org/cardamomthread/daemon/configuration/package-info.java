/** Spreads the configuration from the voters of its log to every node. */
package org.cardamomthread.daemon.configuration;
