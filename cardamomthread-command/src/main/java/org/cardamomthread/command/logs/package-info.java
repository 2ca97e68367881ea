/** Reads collected node logs and reconstructs the timeline of one request. */
package org.cardamomthread.command.logs;
