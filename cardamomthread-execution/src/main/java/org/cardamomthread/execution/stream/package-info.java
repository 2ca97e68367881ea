/** What was delivered of an answer, whether it is whole, and how to go on with it. */
package org.cardamomthread.execution.stream;
