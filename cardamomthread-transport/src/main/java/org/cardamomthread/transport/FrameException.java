package org.cardamomthread.transport;

import org.cardamomthread.core.CardamomthreadException;

/** Reports a frame that was changed, replayed, reordered or reflected on the way. */
final class FrameException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    FrameException(String message) {
        super(message);
    }
}
