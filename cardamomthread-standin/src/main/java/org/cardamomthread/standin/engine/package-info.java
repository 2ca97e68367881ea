/** Stand-in for a model engine. */
package org.cardamomthread.standin.engine;
