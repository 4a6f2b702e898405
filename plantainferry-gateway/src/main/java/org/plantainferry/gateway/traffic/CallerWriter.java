package org.plantainferry.gateway.traffic;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.plantainferry.gateway.spi.WireFormat;
import org.plantainferry.gateway.statement.FailureCode;
import org.plantainferry.gateway.statement.SessionMode;

/**
 * Writes complete answers to one caller.
 *
 * <p>Long answers are handed to the channel a piece at a time, as the caller reads them, so that
 * only their text is held until then.
 */
final class CallerWriter {
    private static final long LAST_ANSWER_TIMEOUT_MILLIS = 3_000;
    private static final int PIECE_CHARACTERS = 16_384;

    private final WireFormat mFormat;
    private final Channel mChannel;
    private final Deque<String> mUnsentTexts = new ArrayDeque<>();
    // The start of the first unsent text in it.
    private int mUnsentStart;
    private long mUnsentCharacters;
    private long mAnsweredCharacters;
    private Runnable mUnreadListener = () -> {};
    private boolean mClosing;

    CallerWriter(WireFormat format, Channel channel) {
        mFormat = format;
        mChannel = channel;
    }

    /** Sets an action that runs whenever the caller leaves something unread, or reads more. */
    void setUnreadListener(Runnable listener) {
        mUnreadListener = listener;
    }

    void ready(SessionMode mode) {
        write(mFormat.ready(mode) + LineCodec.LINE_END);
    }

    void done(List<String> rows, Optional<String> signature, SessionMode mode) {
        StringBuilder text = new StringBuilder();
        for (String row : rows) {
            text.append(mFormat.row(row)).append(LineCodec.LINE_END);
            if (text.length() > PIECE_CHARACTERS) {
                enqueue(text.toString());
                text = new StringBuilder();
            }
        }
        text.append(mFormat.done(signature)).append(LineCodec.LINE_END);
        text.append(mFormat.ready(mode)).append(LineCodec.LINE_END);
        write(text.toString());
    }

    void failed(FailureCode code, String reason, SessionMode mode) {
        write(
                mFormat.failed(code, reason)
                        + LineCodec.LINE_END
                        + mFormat.ready(mode)
                        + LineCodec.LINE_END);
    }

    /** Sends a refusal of the session and closes the connection. */
    void refuseSession(FailureCode code, String reason) {
        write(mFormat.failed(code, reason) + LineCodec.LINE_END);
        close();
    }

    /** Closes the connection when the last answer is written, which a slow caller delays. */
    void close() {
        mClosing = true;
        closeWhenWritten();
        if (mChannel.isOpen()) {
            mChannel.eventLoop()
                    .schedule(
                            () -> mChannel.close(),
                            LAST_ANSWER_TIMEOUT_MILLIS,
                            TimeUnit.MILLISECONDS);
        }
    }

    private void closeWhenWritten() {
        if (!mClosing || !mUnsentTexts.isEmpty()) {
            return;
        }
        ChannelFuture written = mChannel.writeAndFlush(Unpooled.EMPTY_BUFFER);
        if (written.isDone()) {
            mChannel.close();
        } else {
            written.addListener(done -> mChannel.close());
        }
    }

    private void write(String text) {
        if (mUnsentTexts.isEmpty() && text.length() <= PIECE_CHARACTERS) {
            mAnsweredCharacters += text.length();
            mChannel.writeAndFlush(text, mChannel.voidPromise());
        } else {
            enqueue(text);
            sendPieces();
        }
        if (unreadBytes() > 0) {
            mUnreadListener.run();
        }
    }

    private void enqueue(String text) {
        mAnsweredCharacters += text.length();
        mUnsentCharacters += text.length();
        mUnsentTexts.addLast(text);
    }

    private void sendPieces() {
        while (!mUnsentTexts.isEmpty() && mChannel.isWritable()) {
            mChannel.writeAndFlush(nextPiece(), mChannel.voidPromise());
        }
    }

    private String nextPiece() {
        String text = mUnsentTexts.getFirst();
        int end = Math.min(text.length(), mUnsentStart + PIECE_CHARACTERS);
        if (end < text.length() && Character.isHighSurrogate(text.charAt(end - 1))) {
            end++;
        }
        String piece = text.substring(mUnsentStart, end);
        mUnsentCharacters -= piece.length();
        mUnsentStart = end;
        if (end == text.length()) {
            mUnsentTexts.removeFirst();
            mUnsentStart = 0;
        }
        return piece;
    }

    /** Continues with long answers when the caller has read enough of what was written. */
    void onWritabilityChanged() {
        if (!mUnsentTexts.isEmpty() && mChannel.isWritable()) {
            sendPieces();
            closeWhenWritten();
        }
        mUnreadListener.run();
    }

    /** Returns the approximate size of what the caller has not read. */
    long unreadBytes() {
        ChannelOutboundBuffer written = mChannel.unsafe().outboundBuffer();
        return mUnsentCharacters + (written == null ? 0 : written.totalPendingWriteBytes());
    }

    /** Returns the approximate size of what the caller has read since it connected. */
    long takenBytes() {
        return mAnsweredCharacters - unreadBytes();
    }
}
