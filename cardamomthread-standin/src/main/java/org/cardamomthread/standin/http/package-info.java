/** HTTP server of the stand-ins. */
package org.cardamomthread.standin.http;
