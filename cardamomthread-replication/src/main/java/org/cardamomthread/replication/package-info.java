/** Public interface of replication groups: replicated logs with an elected leader. */
package org.cardamomthread.replication;
