package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.plantainferry.platform.standin.StandInDocuments;
import org.plantainferry.platform.standin.StoreStandIn;

/**
 * A group of database servers that follows PROTOCOL.md: each server has its own log and term, a
 * replica receives commits of the primary, and a promotion starts the next term.
 */
final class Group {
    record Commit(long term, long number, Map<String, String> writes) {}

    /** Chooses whether the answer to a statement that has run is lost. */
    interface AnswerLoss {
        boolean isLost(String server, String id, String text);
    }

    final String service;
    final boolean platformFences;
    private final StoreStandIn mStore;
    private final Record mRecord;
    private final int mSlots;
    private final int mMeanWorkMillis;
    private final Map<String, Server> mServers = new LinkedHashMap<>();
    private String mPrimary;
    /** The ids of the requests that reached a server. */
    final Set<String> arrived = ConcurrentHashMap.newKeySet();

    /** The texts of the reads and writes that ran, by request id. */
    final Map<String, String> ran = new ConcurrentHashMap<>();

    volatile AnswerLoss answerLoss = (server, id, text) -> false;

    Group(
            String service,
            boolean platformFences,
            StoreStandIn store,
            Record record,
            int slots,
            int meanWorkMillis) {
        this.service = service;
        this.platformFences = platformFences;
        mStore = store;
        mRecord = record;
        mSlots = slots;
        mMeanWorkMillis = meanWorkMillis;
    }

    synchronized Server start(String id, String host, String zone) throws IOException {
        Server server = new Server(id, host, zone);
        if (mPrimary == null) {
            mPrimary = id;
            server.mLeads = true;
        }
        mServers.put(id, server);
        server.writeEntry("ready");
        return server;
    }

    synchronized Server server(String id) {
        return mServers.get(id);
    }

    synchronized String primary() {
        return mPrimary;
    }

    /** Commits a value at the primary that a caller wrote before the start of the case. */
    synchronized void preload(String item, String value) {
        mServers.get(mPrimary).append(Map.of(item, value));
    }

    /** Carries out POST /promote; returns the HTTP status. */
    synchronized int promote(String id) {
        Server next = mServers.get(id);
        if (next == null || next.mDown) {
            return 409;
        }
        if (id.equals(mPrimary)) {
            return 200;
        }
        Server former = mServers.get(mPrimary);
        long term = mServers.values().stream().mapToLong(server -> server.mTerm).max().orElse(3) + 1;
        mPrimary = id;
        next.mTerm = term;
        next.mLeads = true;
        mRecord.line("promoted " + id + " term " + term);
        boolean keepsLead = !platformFences && former != null && !former.mDown;
        for (Server server : mServers.values()) {
            if (server != next && !(server == former && keepsLead)) {
                server.follow(next);
            }
        }
        if (keepsLead) {
            // The former primary goes on until a second after it can reach the new one.
            Thread thread = new Thread(() -> endLead(former, next), "former primary");
            thread.setDaemon(true);
            thread.start();
        }
        mServers.values().stream().filter(server -> !server.mDown).forEach(server -> server.writeEntry("ready"));
        return 200;
    }

    private void endLead(Server former, Server next) {
        try {
            Thread.sleep(1_000);
        } catch (InterruptedException e) {
            return;
        }
        synchronized (this) {
            former.follow(next);
            former.writeEntry("ready");
        }
    }

    /** One server. Its log is guarded by the group. */
    final class Server {
        final String id;
        final String zone;
        private final ServerSocket mListener;
        private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
        private final Semaphore mFreeSlots = new Semaphore(mSlots, true);
        private final List<Commit> mLog = new ArrayList<>();
        private final Random mRandom;
        private boolean mLeads;
        private long mTerm = 3;
        private long mHeldTerm;
        private volatile boolean mDown;
        private boolean mDraining;
        private final long mBorn = System.currentTimeMillis();

        private Server(String id, String host, String zone) throws IOException {
            this.id = id;
            this.zone = zone;
            mRandom = new Random(id.hashCode());
            mListener = new ServerSocket(0, 128, InetAddress.getByName(host));
            Thread thread = new Thread(this::accept, id);
            thread.setDaemon(true);
            thread.start();
        }

        private void writeEntry(String state) {
            mStore.put(
                    "servers",
                    id,
                    StandInDocuments.serverEntry(
                            service,
                            mListener.getInetAddress().getHostAddress()
                                    + ":"
                                    + mListener.getLocalPort(),
                            zone,
                            mBorn,
                            mLeads,
                            mDraining ? "draining" : state));
        }

        private void follow(Server next) {
            mLeads = false;
            mTerm = next.mTerm;
            mLog.clear();
            mLog.addAll(next.mLog);
        }

        private void append(Map<String, String> writes) {
            long number = mLog.isEmpty() ? 1 : mLog.get(mLog.size() - 1).number() + 1;
            Commit commit = new Commit(mTerm, number, Map.copyOf(writes));
            mLog.add(commit);
            for (Server other : mServers.values()) {
                if (other != Server.this && !other.mDown && !other.mLeads) {
                    other.mLog.add(commit);
                }
            }
        }

        /** Announces that the server is to be replaced. */
        void announceLeaving() {
            synchronized (Group.this) {
                mDraining = true;
                writeEntry("draining");
            }
        }

        /** Crashes for good. Its entry is removed by {@link #expire}. */
        void crash() throws IOException {
            mDown = true;
            mListener.close();
            for (Socket socket : mSockets) {
                socket.close();
            }
        }

        void expire() {
            mStore.remove("servers", id);
        }

        private void accept() {
            while (!mListener.isClosed()) {
                try {
                    Socket socket = mListener.accept();
                    socket.setTcpNoDelay(true);
                    mSockets.add(socket);
                    Thread thread = new Thread(() -> serve(socket), id + " session");
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            Session session = new Session();
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                for (String line = readLine(in); line != null; line = readLine(in)) {
                    String answer = session.handle(line);
                    if (answer != null) {
                        out.write(answer.getBytes(StandardCharsets.UTF_8));
                        out.flush();
                    }
                    if (session.mRefused) {
                        return;
                    }
                }
            } catch (IOException | InterruptedException e) {
                // The other end has closed the connection.
            } finally {
                mSockets.remove(socket);
            }
        }

        /** Reads a line up to CR LF; null at the end of the connection. */
        private String readLine(InputStream in) throws IOException {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            int last = -1;
            for (int next = in.read(); next >= 0; next = in.read()) {
                if (last == '\r' && next == '\n') {
                    String line = bytes.toString(StandardCharsets.UTF_8);
                    return line.substring(0, line.length() - 1);
                }
                bytes.write(next);
                last = next;
            }
            return null;
        }

        private final class Session {
            private final Map<String, String> mPrepared = new HashMap<>();
            private Map<String, String> mWrites = new HashMap<>();
            private char mState = 'I';
            private boolean mReadOnly;
            private long mBeginTerm;
            private boolean mRefused;

            String handle(String line) throws InterruptedException {
                String[] words = line.split(" ", 3);
                if (words[0].equals("STARTUP")) {
                    String[] who = words[2].split(" ");
                    if (!words[1].equals(service) || (who.length > 1 && !who[1].equals(id))) {
                        mRefused = true;
                        return "ERR WRONGHOST " + id + "\r\n";
                    }
                    return ready();
                }
                String text = words[2];
                arrived.add(words[1]);
                String answer = run(words[1], text);
                if (answerLoss.isLost(id, words[1], text)) {
                    mRecord.line("server " + id + " loses the answer to " + words[1] + " " + text);
                    return null;
                }
                return answer;
            }

            private String ready() {
                synchronized (Group.this) {
                    return "READY " + mState + " " + position() + "\r\n";
                }
            }

            private String position() {
                if (mLog.isEmpty()) {
                    return mTerm + ".0";
                }
                Commit last = mLog.get(mLog.size() - 1);
                return last.term() + "." + last.number();
            }

            private String done(String digest) {
                return "DONE " + digest + "\r\n" + ready();
            }

            private String error(String code) {
                mState = mState == 'T' ? 'E' : mState;
                return "ERR " + code + " " + id + "\r\n" + ready();
            }

            private String run(String requestId, String fullText) throws InterruptedException {
                String text = fullText;
                if (text.startsWith("AFTER ")) {
                    String[] parts = text.split(" ", 3);
                    text = parts[2];
                    if (!hasPosition(parts[1])) {
                        return error("LAGGING");
                    }
                }
                String[] words = text.split(" ", 3);
                switch (words[0]) {
                    case "BEGIN":
                        synchronized (Group.this) {
                            if (!text.endsWith("READ") && !mLeads) {
                                return error("READONLY");
                            }
                            mReadOnly = text.endsWith("READ");
                            mBeginTerm = mTerm;
                            mState = 'T';
                            mWrites = new HashMap<>();
                            return done("-");
                        }
                    case "ABORT":
                        mState = 'I';
                        return done("-");
                    case "SET":
                        return done("-");
                    case "RESET":
                        mPrepared.clear();
                        return done("-");
                    case "PARSE":
                        mPrepared.put(words[1], words[2]);
                        return done("-");
                    case "STAT":
                        synchronized (Group.this) {
                            return "ROW "
                                    + (mLeads ? "primary " : "replica ")
                                    + mTerm
                                    + " "
                                    + position()
                                    + " "
                                    + mHeldTerm
                                    + " 0 0 1\r\n"
                                    + done("-");
                        }
                    case "STEPDOWN":
                        synchronized (Group.this) {
                            long term = Long.parseLong(words[1]);
                            if (mLeads && mTerm < term) {
                                mLeads = false;
                                writeEntry("ready");
                            }
                        }
                        return run(requestId, "STAT");
                    default:
                        return runWithSlot(requestId, text, words);
                }
            }

            private boolean hasPosition(String text) {
                String[] parts = text.split("\\.");
                long term = Long.parseLong(parts[0]);
                long number = Long.parseLong(parts[1]);
                synchronized (Group.this) {
                    if (number == 0) {
                        return true;
                    }
                    for (int index = mLog.size() - 1; index >= 0; index--) {
                        Commit commit = mLog.get(index);
                        if (commit.number() == number) {
                            return commit.term() >= term;
                        }
                        if (commit.number() < number) {
                            return commit.term() > term;
                        }
                    }
                    return false;
                }
            }

            private String runWithSlot(String requestId, String text, String[] words)
                    throws InterruptedException {
                if (!mFreeSlots.tryAcquire(300, TimeUnit.MILLISECONDS)) {
                    return error("BUSY");
                }
                try {
                    if (!words[0].equals("COMMIT")) {
                        double work = mMeanWorkMillis * (0.4 + 1.2 * mRandom.nextDouble());
                        Thread.sleep((long) work);
                    }
                    return runNow(requestId, text, words);
                } finally {
                    mFreeSlots.release();
                }
            }

            private String runNow(String requestId, String text, String[] words) {
                synchronized (Group.this) {
                    String shape = words[0].equals("EXECUTE") ? mPrepared.get(words[1]) : "";
                    if (shape == null) {
                        return error("NOSTMT");
                    }
                    if (mState == 'E') {
                        return error("MALFORMED");
                    }
                    boolean hasLostLead =
                            mState == 'T' && !mReadOnly && (!mLeads || mBeginTerm != mTerm);
                    if (words[0].equals("COMMIT")) {
                        return commit(requestId, hasLostLead);
                    }
                    boolean isWrite = words[0].equals("WRITE") || shape.startsWith("WRITE");
                    if (hasLostLead || (isWrite && !mLeads)) {
                        return error("READONLY");
                    }
                    mRecord.line("server " + id + " runs " + requestId + " " + text);
                    ran.put(requestId, text);
                    String[] arguments = text.split(" ", 4);
                    int item = words[0].equals("EXECUTE") ? 2 : 1;
                    if (!isWrite) {
                        return "ROW " + read(arguments[item]) + "\r\n" + done("d." + id);
                    }
                    String data = text.split(" ", item + 2)[item + 1];
                    if (mState == 'T') {
                        mWrites.put(arguments[item], data);
                    } else {
                        append(Map.of(arguments[item], data));
                    }
                    return done("d." + id);
                }
            }

            private String commit(String requestId, boolean hasLostLead) {
                if (!mWrites.isEmpty()) {
                    if (hasLostLead) {
                        return error("READONLY");
                    }
                    append(mWrites);
                }
                mRecord.line("server " + id + " commits " + requestId);
                mState = 'I';
                mWrites = new HashMap<>();
                return done("d." + id);
            }

            private String read(String item) {
                for (int index = mLog.size() - 1; index >= 0; index--) {
                    String value = mLog.get(index).writes().get(item);
                    if (value != null) {
                        return value;
                    }
                }
                return "none";
            }
        }
    }
}
