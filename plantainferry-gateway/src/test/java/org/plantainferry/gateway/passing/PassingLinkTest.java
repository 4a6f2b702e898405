package org.plantainferry.gateway.passing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.UnknownFieldSet;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.plantainferry.gateway.peer.PeerListener;
import org.plantainferry.gateway.peer.generated.PassedAnswer;
import org.plantainferry.gateway.peer.generated.PassedOperation;
import org.plantainferry.gateway.peer.generated.PassedStep;
import org.plantainferry.gateway.peer.generated.PassingMessage;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against operations that are lost on a link, that run on the wrong thread, or that wait for
 * an instance of another build.
 */
public final class PassingLinkTest {
    private static final String LOOPBACK = "127.0.0.1";
    private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final int UNKNOWN_FIELD = 999;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
    private final EventLoop mControl = mGroup.next();
    private final EventLoop mTraffic = mGroup.next();
    private final EventLoop mSender = mGroup.next();
    private RecordingHost mHost;
    private HostLinks mLinks;
    private ServerSocket mListener;
    private int mPort;

    /** Answers each operation, and records on which thread it is called. */
    private final class RecordingHost implements OperationHost {
        private final List<String> mCalls = new CopyOnWriteArrayList<>();
        private volatile boolean mIsOnOtherThread;
        private volatile boolean mIsLeaving;

        private void record(String call) {
            mIsOnOtherThread |= !mTraffic.inEventLoop();
            mCalls.add(call);
        }

        @Override
        public void onLinkOpened(AcceptedLink link) {
            record("opened");
            if (mIsLeaving) {
                link.sayFarewell();
            }
        }

        @Override
        public void onStart(AcceptedLink link, long operation, PassedOperation start) {
            record("start " + start.getDatabase());
            link.answer(
                    operation,
                    PassedAnswer.newBuilder()
                            .setDone(true)
                            .setSignature(start.getDatabase())
                            .setEnded(!start.getTransaction())
                            .build());
        }

        @Override
        public void onStep(AcceptedLink link, long operation, PassedStep step) {
            record("step " + step.getRequest());
            link.refuse(operation, "refused " + step.getRequest());
        }

        @Override
        public void onEnd(AcceptedLink link, long operation, String reason) {
            record("end " + reason);
        }

        @Override
        public void onLinkEnded(AcceptedLink link) {
            record("ended");
        }
    }

    /** Records what it is told. */
    private static final class RecordingListener implements PassedOperationListener {
        private final List<String> mCalls = new CopyOnWriteArrayList<>();

        @Override
        public void onAnswer(PassedAnswer answer) {
            mCalls.add("answer " + answer.getSignature());
        }

        @Override
        public void onRefusal(String reason) {
            mCalls.add(reason);
        }

        @Override
        public void onSilence() {
            mCalls.add("silence");
        }

        @Override
        public void onLost() {
            mCalls.add("lost");
        }
    }

    @BeforeMethod
    public void start() throws Exception {
        mHost = new RecordingHost();
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
            mPort = free.getLocalPort();
        }
        PassingProtocol protocol = new PassingProtocol(mTraffic, "host", mHost, System::nanoTime);
        new PeerListener(mControl, LOOPBACK, Map.of(PeerListener.STATEMENTS, protocol))
                .start(mPort);
        mListener = new ServerSocket(0, 10, InetAddress.getByName(LOOPBACK));
        mLinks = new HostLinks(mSender, "sender", LOOPBACK, System::nanoTime);
        call(
                () -> {
                    mLinks.setAddresses(
                            Map.of(
                                    "host",
                                    LOOPBACK + ":" + mPort,
                                    "other",
                                    LOOPBACK + ":" + mListener.getLocalPort()));
                    return null;
                });
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        call(
                () -> {
                    mLinks.close();
                    return null;
                });
        mListener.close();
    }

    private <T> T call(Callable<T> action) {
        return mSender.submit(action).syncUninterruptibly().getNow();
    }

    private static void awaitTrue(BooleanSupplier condition) throws InterruptedException {
        long startedNanos = System.nanoTime();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() - startedNanos < WAIT_NANOS, "waited in vain");
            Thread.sleep(5);
        }
    }

    private HostLink awaitLink() throws InterruptedException {
        awaitTrue(() -> call(() -> mLinks.usable("host")).isPresent());
        return call(() -> mLinks.usable("host")).orElseThrow();
    }

    private static PassedOperation operation(String database, boolean transaction) {
        return PassedOperation.newBuilder()
                .setDatabase(database)
                .setTransaction(transaction)
                .build();
    }

    @Test
    public void carriesOperationsAndAnswersOnTheTrafficThread() throws Exception {
        HostLink link = awaitLink();
        RecordingListener single = new RecordingListener();
        RecordingListener transaction = new RecordingListener();
        call(() -> link.start(operation("one", false), single));
        long number = call(() -> link.start(operation("two", true), transaction));
        awaitTrue(() -> single.mCalls.size() == 1 && transaction.mCalls.size() == 1);
        call(
                () -> {
                    link.step(number, PassedStep.newBuilder().setRequest("q1").build());
                    return null;
                });
        awaitTrue(() -> transaction.mCalls.size() == 2);
        assertEquals(single.mCalls, List.of("answer one"));
        assertEquals(transaction.mCalls, List.of("answer two", "refused q1"));
        assertEquals(mHost.mCalls, List.of("opened", "start one", "start two", "step q1"));
        assertFalse(mHost.mIsOnOtherThread, "called on another thread");
    }

    @Test
    public void tellsTheHostWhenNobodyWaitsAndWhenTheLinkEnds() throws Exception {
        HostLink link = awaitLink();
        RecordingListener transaction = new RecordingListener();
        long number = call(() -> link.start(operation("two", true), transaction));
        awaitTrue(() -> transaction.mCalls.size() == 1);
        call(
                () -> {
                    link.end(number, "left");
                    link.end(number, "again");
                    return null;
                });
        awaitTrue(() -> mHost.mCalls.contains("end left"));
        call(
                () -> {
                    mLinks.close();
                    return null;
                });
        awaitTrue(() -> mHost.mCalls.contains("ended"));
        assertFalse(mHost.mCalls.contains("end again"));
    }

    @Test
    public void passesNothingToAnInstanceThatLeaves() throws Exception {
        mHost.mIsLeaving = true;
        call(() -> mLinks.usable("host"));
        awaitTrue(() -> mHost.mCalls.contains("opened"));
        Thread.sleep(100);
        assertTrue(call(() -> mLinks.usable("host")).isEmpty());
    }

    /** Provides whether an instance of another build closes the connection or stays silent. */
    @DataProvider
    public Object[][] otherBuilds() {
        return new Object[][] {{true}, {false}};
    }

    @Test(dataProvider = "otherBuilds")
    public void avoidsAnInstanceThatDoesNotKnowThePurpose(boolean closes) throws Exception {
        assertTrue(call(() -> mLinks.usable("other")).isEmpty());
        Socket socket = mListener.accept();
        if (closes) {
            socket.close();
        }
        Thread.sleep(closes ? 100 : 600);
        assertTrue(call(() -> mLinks.usable("other")).isEmpty());
        mListener.setSoTimeout(200);
        try {
            mListener.accept();
        } catch (IOException e) {
            // No second connection while the instance is avoided.
            socket.close();
            return;
        }
        throw new AssertionError("connected again at once");
    }

    /** Guards against a later build whose new content the host of this build drops. */
    @Test
    public void refusesUnknownContentAboutAnOperation() throws Exception {
        try (Socket socket = new Socket(LOOPBACK, mPort)) {
            socket.setSoTimeout(3_000);
            OutputStream out = socket.getOutputStream();
            out.write("statements later-build\n".getBytes(StandardCharsets.US_ASCII));
            long stamp = read(socket).getStamp();
            write(out, PassingChannels.greeting("later-build").setStamp(stamp).build());
            UnknownFieldSet unknown =
                    UnknownFieldSet.newBuilder()
                            .addField(
                                    UNKNOWN_FIELD,
                                    UnknownFieldSet.Field.newBuilder().addVarint(1).build())
                            .build();
            write(
                    out,
                    PassingMessage.newBuilder()
                            .setOperation(7)
                            .setStamp(stamp)
                            .setUnknownFields(unknown)
                            .build());
            PassingMessage refusal = read(socket);
            assertEquals(refusal.getOperation(), 7);
            assertTrue(refusal.hasRefusal());
            PassedOperation extended =
                    operation("one", false).toBuilder().setUnknownFields(unknown).build();
            write(
                    out,
                    PassingMessage.newBuilder()
                            .setOperation(8)
                            .setStamp(refusal.getStamp())
                            .setStart(extended)
                            .build());
            assertEquals(read(socket).getAnswer().getSignature(), "one");
        }
    }

    private static void write(OutputStream out, PassingMessage message) throws IOException {
        CodedOutputStream coded = CodedOutputStream.newInstance(out);
        coded.writeUInt32NoTag(message.getSerializedSize());
        message.writeTo(coded);
        coded.flush();
    }

    private static PassingMessage read(Socket socket) throws IOException {
        return PassingMessage.parseDelimitedFrom(socket.getInputStream());
    }

    /** Guards against a later build whose new content ends the link at this build. */
    @Test
    public void ignoresUnknownContentFromAHost() throws Exception {
        call(() -> mLinks.usable("other"));
        try (Socket socket = mListener.accept()) {
            socket.setSoTimeout(3_000);
            byte[] line = "statements sender\n".getBytes(StandardCharsets.US_ASCII);
            assertEquals(socket.getInputStream().readNBytes(line.length), line);
            OutputStream out = socket.getOutputStream();
            write(out, PassingChannels.greeting("other").setStamp(1).build());
            write(out, PassingMessage.newBuilder().setStamp(2).build());
            awaitTrue(() -> call(() -> mLinks.usable("other")).isPresent());
            HostLink link = call(() -> mLinks.usable("other")).orElseThrow();
            RecordingListener listener = new RecordingListener();
            call(() -> link.start(operation("one", false), listener));
            assertTrue(read(socket).hasGreeting());
            assertEquals(read(socket).getStamp(), 2);
            // A message without an answer shows that the host lives; later it is silent.
            awaitTrue(() -> listener.mCalls.contains("silence"));
            assertTrue(call(() -> mLinks.usable("other")).isEmpty());
        }
        awaitTrue(() -> call(() -> mLinks.usable("other")).isEmpty());
    }
}
