/** Replicated claims that ensure at-most-once execution of non-idempotent calls. */
package org.cardamomthread.execution.claim;
