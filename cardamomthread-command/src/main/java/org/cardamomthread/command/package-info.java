/** cardamomthread, the operator command. */
package org.cardamomthread.command;
