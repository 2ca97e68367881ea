/** How a command ends. */
package org.cardamomthread.command.outcome;
