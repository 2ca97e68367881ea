/** Measurements of load through one node compared with direct calls to the same stand-ins. */
package org.cardamomthread.experiments.path;
