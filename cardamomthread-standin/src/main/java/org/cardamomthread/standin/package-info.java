/** Simulated endpoints and platform for tests and measurements. */
package org.cardamomthread.standin;
