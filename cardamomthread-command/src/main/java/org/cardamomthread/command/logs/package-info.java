/** Reads collected logs and finds what belongs to one request. */
package org.cardamomthread.command.logs;
