/** Load through one node against direct calls to the same stand-in. */
package org.cardamomthread.experiments.path;
