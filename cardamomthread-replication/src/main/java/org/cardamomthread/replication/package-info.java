/** The replicated log: what users of a group see of it. */
package org.cardamomthread.replication;
