/** Hashing with the same results on all nodes. */
package org.cardamomthread.core.hash;
