package org.cardamomthread.daemon.gateway;

import org.cardamomthread.configuration.declaration.Declarations;

/** Gives the declarations in force on this node. Safe for use by several threads. */
@FunctionalInterface
public interface ConfigurationSource {

    /**
     * Returns the declarations in force now.
     *
     * @return the declarations, empty until the node has received any
     */
    Declarations getDeclarations();
}
