/** Node settings, declarations, traffic documents and the replicated configuration. */
package org.cardamomthread.configuration;
