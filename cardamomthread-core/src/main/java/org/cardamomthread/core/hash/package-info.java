/** Hashing that all nodes must compute alike. */
package org.cardamomthread.core.hash;
