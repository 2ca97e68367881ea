/** Stand-ins for endpoints and the platform. */
package org.cardamomthread.standin;
