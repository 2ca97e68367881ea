package org.cardamomthread.transport;

import org.cardamomthread.core.CardamomthreadException;

/**
 * Thrown when a frame is malformed or was modified, replayed, reordered or reflected in transit.
 */
final class FrameException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    FrameException(String message) {
        super(message);
    }
}
