/** Claims of non-repeatable calls, accepted jobs, resume. */
package org.cardamomthread.execution;
