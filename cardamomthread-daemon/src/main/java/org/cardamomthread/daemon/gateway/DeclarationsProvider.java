package org.cardamomthread.daemon.gateway;

import org.cardamomthread.configuration.declaration.Declarations;

/** Provides the current declarations of this node. Thread-safe. */
@FunctionalInterface
public interface DeclarationsProvider {

    /**
     * Returns the current declarations.
     *
     * @return the declarations, empty until the node has received any
     */
    Declarations getDeclarations();
}
