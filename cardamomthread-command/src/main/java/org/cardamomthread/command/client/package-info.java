/** Client of the operators' HTTP API. */
package org.cardamomthread.command.client;
