package org.plantainferry.gateway.traffic;

import io.netty.channel.Channel;
import java.util.List;
import java.util.Optional;
import org.plantainferry.gateway.spi.WireFormat;
import org.plantainferry.gateway.statement.FailureCode;
import org.plantainferry.gateway.statement.SessionMode;

/** Writes whole answers to one caller. */
final class CallerWriter {
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

    /** Refuses to open the session and closes the connection. */
    void refuseSession(FailureCode code, String reason) {
        mChannel.writeAndFlush(mFormat.failed(code, reason) + LineCodec.LINE_END)
                .addListener(written -> mChannel.close());
    }

    void close() {
        mChannel.close();
    }

    private void write(String text) {
        mChannel.writeAndFlush(text, mChannel.voidPromise());
    }

    /** Goes on or stops reading what the caller sends. */
    void setAutoRead(boolean reading) {
        mChannel.config().setAutoRead(reading);
    }
}
