/** Tracking of partially delivered responses: their completeness and how to resume them. */
package org.cardamomthread.execution.stream;
