/** Exit codes of commands and the exception that carries them. */
package org.cardamomthread.command.outcome;
