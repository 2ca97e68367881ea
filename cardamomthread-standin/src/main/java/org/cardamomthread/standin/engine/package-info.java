/** Stand-in for a model engine, with a simulated prefix cache and batching. */
package org.cardamomthread.standin.engine;
