package org.plantainferry.gateway.passing;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.plantainferry.gateway.log.GatewayEvent;
import org.plantainferry.gateway.peer.generated.PassedAnswer;
import org.plantainferry.gateway.peer.generated.PassedRefusal;
import org.plantainferry.gateway.peer.generated.PassingFarewell;
import org.plantainferry.gateway.peer.generated.PassingMessage;
import org.plantainferry.gateway.peer.generated.PassingSign;

/**
 * Receives the operations that one other instance passes to this one.
 *
 * <p>While answers are owed, something is sent regularly, so that the other instance can tell a
 * long statement from an instance that has stopped. A message that was on its way for long is
 * refused: it may have stood in a buffer while one of the two machines was stopped, and the checks
 * that the sender made no longer count. Not thread-safe: used by the traffic thread only.
 *
 * @since 0.4
 */
public final class AcceptedLink extends SimpleChannelInboundHandler<PassingMessage> {
    private static final long SIGN_INTERVAL_MILLIS = 100;
    private static final long MAX_TRANSIT_MICROS = TimeUnit.MILLISECONDS.toMicros(1_000);

    private final String mInstance;
    private final OperationHost mHost;
    private final LongSupplier mClock;
    private final Set<Long> mOwed = new HashSet<>();
    private Channel mChannel;
    private int mUnwrittenMessages;
    private boolean mOpen;
    private boolean mEnded;
    private boolean mSigning;
    private boolean mHasSentSinceSign;

    AcceptedLink(String instance, OperationHost host, LongSupplier clock) {
        mInstance = instance;
        mHost = host;
        mClock = clock;
    }

    /** Greets the other instance. */
    void greet(Channel channel) {
        mChannel = channel;
        send(PassingChannels.greeting(mInstance));
    }

    /** Returns whether the other instance takes answers as fast as they are sent. */
    public boolean isWritable() {
        return mChannel.isWritable();
    }

    /** Returns whether an answer has not been handed to the operating system yet. */
    public boolean hasUnwrittenMessages() {
        return mUnwrittenMessages > 0 && !mEnded;
    }

    /** Returns whether an answer is short enough to be sent. */
    public static boolean fits(PassedAnswer answer) {
        return answer.getSerializedSize() <= PassingChannels.MAX_CONTENT_BYTES;
    }

    /** Answers the statement in progress of an operation. */
    public void answer(long operation, PassedAnswer answer) {
        mOwed.remove(operation);
        send(PassingMessage.newBuilder().setOperation(operation).setAnswer(answer));
    }

    /**
     * Refuses the statement in progress of an operation, of which nothing has run; without a
     * statement in progress, reports that the transaction is rolled back.
     */
    public void refuse(long operation, String reason) {
        mOwed.remove(operation);
        PassedRefusal refusal = PassedRefusal.newBuilder().setReason(reason).build();
        send(PassingMessage.newBuilder().setOperation(operation).setRefusal(refusal));
    }

    /** Announces that this instance is about to exit. */
    public void sayFarewell() {
        send(PassingMessage.newBuilder().setFarewell(PassingFarewell.getDefaultInstance()));
    }

    /** Closes the link. */
    public void close() {
        mChannel.close();
    }

    private void send(PassingMessage.Builder message) {
        if (mEnded) {
            return;
        }
        mHasSentSinceSign = true;
        mUnwrittenMessages++;
        // Never 0, which stands for no stamp.
        mChannel.writeAndFlush(message.setStamp(nowMicros() | 1).build())
                .addListener((ChannelFuture done) -> onWritten(done));
    }

    private void onWritten(ChannelFuture done) {
        mUnwrittenMessages--;
        if (!done.isSuccess()) {
            // Without this message the other instance would wait until its deadline.
            mChannel.close();
        }
    }

    private long nowMicros() {
        return TimeUnit.NANOSECONDS.toMicros(mClock.getAsLong());
    }

    /** Returns an upper bound of the time that a message was on its way, in microseconds. */
    private long transitMicros(PassingMessage message) {
        return message.getStamp() == 0
                ? Long.MAX_VALUE
                : nowMicros() - message.getStamp() - message.getHeldMicros();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, PassingMessage message) {
        if (!mOpen) {
            open(message);
            return;
        }
        long operation = message.getOperation();
        switch (message.getContentCase()) {
            case START -> {
                if (owe(message)) {
                    mHost.onStart(this, operation, message.getStart());
                }
            }
            case STEP -> {
                if (owe(message)) {
                    mHost.onStep(this, operation, message.getStep());
                } else {
                    mHost.onEnd(this, operation, "a statement came too late");
                }
            }
            case END -> {
                mOwed.remove(operation);
                mHost.onEnd(this, operation, message.getEnd().getReason());
            }
            default -> {
                // About a statement in progress, a refusal would be untrue.
                if (operation != 0 && !mOwed.contains(operation)) {
                    mHost.onEnd(this, operation, "the content is unknown");
                    refuse(operation, "the content is unknown");
                }
            }
        }
    }

    private void open(PassingMessage message) {
        if (!PassingChannels.isUnderstood(message)) {
            mChannel.close();
            return;
        }
        mOpen = true;
        mHost.onLinkOpened(this);
    }

    /** Records that a statement is to be answered, or refuses it and returns false. */
    private boolean owe(PassingMessage message) {
        if (transitMicros(message) > MAX_TRANSIT_MICROS) {
            refuse(message.getOperation(), "the statement was on its way for too long");
            return false;
        }
        boolean isFull = mOwed.size() >= PassingChannels.MAX_AWAITED_OPERATIONS || !isWritable();
        // The next statement of a transaction can run nowhere else.
        if (message.hasStart() && isFull) {
            refuse(message.getOperation(), "the link is full");
            return false;
        }
        mOwed.add(message.getOperation());
        if (!mSigning) {
            mSigning = true;
            scheduleSign();
        }
        return true;
    }

    private void scheduleSign() {
        mHasSentSinceSign = false;
        mChannel.eventLoop().schedule(this::sign, SIGN_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void sign() {
        if (mEnded || mOwed.isEmpty()) {
            mSigning = false;
            return;
        }
        if (!mHasSentSinceSign) {
            send(PassingMessage.newBuilder().setSign(PassingSign.getDefaultInstance()));
        }
        scheduleSign();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mEnded = true;
        mOwed.clear();
        if (mOpen) {
            mHost.onLinkEnded(this);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A reset or an unreadable message; the other instance opens another link.
        if (!(cause instanceof IOException)) {
            GatewayEvent.UNEXPECTED.log("statement link", cause);
        }
        context.close();
    }
}
