/** Stand-in for the platform's cloud API. */
package org.cardamomthread.standin.platform;
