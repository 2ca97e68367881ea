/** Distributes the configuration from the voters of its group to every node. */
package org.cardamomthread.daemon.configuration;
