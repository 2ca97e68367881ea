/** Claims that let a non-repeatable call run at most once. */
package org.cardamomthread.execution.claim;
