/** At-most-once execution, durable jobs and resumption of interrupted responses. */
package org.cardamomthread.execution;
