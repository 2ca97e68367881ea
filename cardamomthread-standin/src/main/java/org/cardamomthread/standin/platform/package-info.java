/** Stand-in for the cloud API of the platform. */
package org.cardamomthread.standin.platform;
