package org.plantainferry.engine.memory;

/**
 * Lists why bytes are held for a connection.
 *
 * @since 0.6
 */
public enum Holding {
    /** Part of a message whose end has not arrived. */
    RECEIVED(true),
    /** Whole messages that wait for their turn or for their answer. */
    QUEUED(false),
    /** Values and prepared statements that the session keeps until its end. */
    SESSION(true),
    /** Answers that the other end has not read. */
    UNREAD(true),
    /** Part of an answer that a server has not ended. */
    GATHERED(false);

    private final boolean mIsHeldByOtherEnd;

    Holding(boolean isHeldByOtherEnd) {
        mIsHeldByOtherEnd = isHeldByOtherEnd;
    }

    /** Returns whether it is for the other end of the connection to make the bytes free. */
    boolean isHeldByOtherEnd() {
        return mIsHeldByOtherEnd;
    }
}
