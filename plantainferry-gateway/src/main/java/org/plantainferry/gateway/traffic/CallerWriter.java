package org.plantainferry.gateway.traffic;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.plantainferry.gateway.spi.WireFormat;
import org.plantainferry.gateway.statement.FailureCode;
import org.plantainferry.gateway.statement.SessionMode;

/** Writes complete answers to one caller. */
final class CallerWriter {
    private static final long LAST_ANSWER_TIMEOUT_MILLIS = 3_000;

    private final WireFormat mFormat;
    private final Channel mChannel;

    CallerWriter(WireFormat format, Channel channel) {
        mFormat = format;
        mChannel = channel;
    }

    void ready(SessionMode mode) {
        write(mFormat.ready(mode) + LineCodec.LINE_END);
    }

    void done(List<String> rows, Optional<String> signature, SessionMode mode) {
        StringBuilder text = new StringBuilder();
        for (String row : rows) {
            text.append(mFormat.row(row)).append(LineCodec.LINE_END);
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
        mChannel.writeAndFlush(mFormat.failed(code, reason) + LineCodec.LINE_END)
                .addListener(written -> mChannel.close());
    }

    /** Closes the connection when the last answer is written, which a slow caller delays. */
    void close() {
        ChannelFuture written = mChannel.writeAndFlush(Unpooled.EMPTY_BUFFER);
        if (written.isDone()) {
            mChannel.close();
            return;
        }
        written.addListener(done -> mChannel.close());
        mChannel.eventLoop()
                .schedule(
                        () -> mChannel.close(), LAST_ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void write(String text) {
        mChannel.writeAndFlush(text, mChannel.voidPromise());
    }

    /** Resumes or suspends reading from the connection. */
    void setAutoRead(boolean reading) {
        mChannel.config().setAutoRead(reading);
    }
}
