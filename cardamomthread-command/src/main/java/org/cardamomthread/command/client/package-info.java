/** The client of the operators' HTTP API. */
package org.cardamomthread.command.client;
