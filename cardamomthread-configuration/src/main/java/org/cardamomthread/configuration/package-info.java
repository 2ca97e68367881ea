/** Node settings, declarations and the replicated configuration. */
package org.cardamomthread.configuration;
