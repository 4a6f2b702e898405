import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stands in for the servers of one service: a primary, its replicas and the order to promote one.
 *
 * <p>Each server has a log of its own. A replica receives a commit at once unless it is deaf, and
 * a commit is acknowledged once as many replicas have received it as the service asks for. A
 * crashed server closes its port and its connections, keeps its log, and loses its entry after
 * three heartbeat intervals.
 */
final class Group {
    static final long ENTRY_LAPSE_MILLIS = 3 * 1_200;
    private static final long PROMOTE_MILLIS = 1_000;
    private static final long UNAWARE_MILLIS = 1_000;

    /** Holds one commit of the log. */
    record Commit(long term, long number, String requestId, String item, String value) {
        String position() {
            return term + "." + number;
        }
    }

    /** Represents one server. */
    final class Server {
        final String mId;
        final String mZone;
        final int mPort;
        final List<Commit> mLog = new ArrayList<>();
        private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
        private ServerSocket mListener;
        private boolean mRunning;
        private boolean mDeaf;
        private boolean mDraining;
        private boolean mCutOff;
        private Set<String> mCutHosts = Set.of();
        private long mBorn;
        private long mCrashes;

        Server(String id, String zone, int port) {
            mId = id;
            mZone = zone;
            mPort = port;
        }

        void start() throws IOException {
            synchronized (Group.this) {
                mBorn = System.currentTimeMillis();
                mListener = new ServerSocket();
                mListener.setReuseAddress(true);
                mListener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), mPort), 64);
                mRunning = true;
                if (this != mPrimary) {
                    copyLogOf(mPrimary);
                }
            }
            ServerSocket listener = mListener;
            Store.daemon(() -> accept(listener)).start();
            mRecord.line(mId, "starts as " + role());
            register();
        }

        private void copyLogOf(Server primary) {
            if (primary != null && primary.mRunning && !mDeaf && !mCutOff && !primary.mCutOff) {
                mLog.clear();
                mLog.addAll(primary.mLog);
            }
        }

        String role() {
            return leads() ? "primary" : "replica";
        }

        /** Returns whether it takes itself for the primary; a partitioned former one does, too. */
        boolean leads() {
            return this == mPrimary || this == mUnaware;
        }

        long term() {
            return this == mUnaware ? mUnawareTerm : mTerm;
        }

        /** Partitions it from the other servers and from some hosts, which hear nothing from it. */
        void cutOff(Set<String> hosts) {
            synchronized (Group.this) {
                mCutOff = true;
                mCutHosts = hosts;
                mRecord.line(mId, "is cut off from the other servers and from " + hosts);
            }
        }

        /** Ends the partition; a second later, a former primary knows of its successor. */
        void reconnect() {
            synchronized (Group.this) {
                mCutOff = false;
                mCutHosts = Set.of();
                mRecord.line(mId, "is reached by all again");
                Group.this.notifyAll();
            }
            Store.daemon(
                            () -> {
                                sleep(UNAWARE_MILLIS);
                                synchronized (Group.this) {
                                    if (this == mUnaware) {
                                        mUnaware = null;
                                        copyLogOf(mPrimary);
                                        mRecord.line(mId, "is a replica of " + mPrimary.mId + " now");
                                    }
                                }
                                register();
                            })
                    .start();
        }

        Map<String, Object> entry() {
            Map<String, Object> spec = new LinkedHashMap<>();
            spec.put("Service", mService);
            spec.put("Addr", "127.0.0.1:" + mPort);
            spec.put("Zone", mZone);
            spec.put("Version", "v1");
            spec.put("Slots", 3L);
            spec.put("State", mDraining ? "draining" : "ready");
            spec.put("ColdLeftMs", 0L);
            spec.put("DbRole", role());
            spec.put("Seq", 1L);
            spec.put("born", mBorn);
            return spec;
        }

        /** Writes the entry as it is now; returns once the store has acknowledged it. */
        void register() {
            if (mRunning) {
                mStore.put(mId, "servers", mId, entry());
            }
        }

        void drain() {
            mDraining = true;
            register();
        }

        void setDeaf(boolean deaf) {
            synchronized (Group.this) {
                mDeaf = deaf;
                mRecord.line(mId, deaf ? "receives nothing from now on" : "receives again");
            }
        }

        String received() {
            synchronized (Group.this) {
                return mLog.isEmpty() ? "1.0" : mLog.get(mLog.size() - 1).position();
            }
        }

        void crash() throws IOException {
            long crashes;
            synchronized (Group.this) {
                mRecord.line(mId, "crashes as " + role() + ", received " + received());
                mRunning = false;
                crashes = ++mCrashes;
                Group.this.notifyAll();
            }
            mListener.close();
            for (Socket socket : mSockets) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            Store.daemon(
                            () -> {
                                sleep(ENTRY_LAPSE_MILLIS);
                                if (!mRunning && crashes == mCrashes) {
                                    mStore.remove("servers", mId);
                                }
                            })
                    .start();
        }

        private void accept(ServerSocket listener) {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    mSockets.add(socket);
                    Store.daemon(() -> new Session(this, socket).serve()).start();
                } catch (IOException e) {
                    return;
                }
            }
        }
    }

    private final Store mStore;
    private final Record mRecord;
    private final String mService;
    private final int mSynchronousReplicas;
    private final Map<String, Server> mServers = new LinkedHashMap<>();
    private final List<Run> mRuns = new ArrayList<>();
    private Server mPrimary;
    // The former primary while it can't know that another server leads, where that isn't fenced.
    private Server mUnaware;
    private long mUnawareTerm;
    private long mTerm = 1;
    private double mLedSeconds;
    private long mPromotions;
    private long mDigests;

    /** Holds one read, write or commit that a server ran for a requester. */
    record Run(String server, String requestId, String text, double seconds) {}

    Group(Store store, Record record, String service, int synchronousReplicas) {
        mStore = store;
        mRecord = record;
        mService = service;
        mSynchronousReplicas = synchronousReplicas;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Adds a server; the first one is the primary. */
    Server add(String id, String zone) throws IOException {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
        Server server = new Server(id, zone, port);
        mServers.put(id, server);
        mPrimary = mPrimary == null ? server : mPrimary;
        server.start();
        return server;
    }

    synchronized Server primary() {
        return mPrimary;
    }

    Server server(String id) {
        return mServers.get(id);
    }

    /** Writes the entries of all servers that run again. */
    void registerAll() {
        mServers.values().forEach(Server::register);
    }

    synchronized List<Run> runs() {
        return List.copyOf(mRuns);
    }

    /** Returns when the newest primary took the lead. */
    synchronized double ledSeconds() {
        return mLedSeconds;
    }

    synchronized long promotions() {
        return mPromotions;
    }

    /** Handles an order; returns the status of its answer. The server leads a second later. */
    int promote(String id) {
        Server server = mServers.get(id);
        synchronized (this) {
            if (server == null || !server.mRunning) {
                return 409;
            }
            if (server == mPrimary) {
                return 200;
            }
        }
        Store.daemon(
                        () -> {
                            sleep(PROMOTE_MILLIS);
                            lead(server);
                        })
                .start();
        return 200;
    }

    private void lead(Server server) {
        Server former;
        synchronized (this) {
            if (!server.mRunning || server == mPrimary) {
                return;
            }
            former = mPrimary;
            if (former != null && former.mRunning && former.mCutOff) {
                mUnaware = former;
                mUnawareTerm = mTerm;
            }
            mPrimary = server;
            mLedSeconds = mRecord.seconds();
            mTerm++;
            mPromotions++;
            mRecord.line(server.mId, "leads term " + mTerm + " with what it had received: " + server.received());
            for (Server other : mServers.values()) {
                if (other != server && other != mUnaware && other.mRunning) {
                    other.copyLogOf(server);
                }
            }
        }
        sleep(Store.CALL_MILLIS);
        server.register();
        if (former != null) {
            former.register();
        }
    }

    private final class Session {
        private final Server mServer;
        private final Socket mSocket;
        private final Map<String, String> mPrepared = new TreeMap<>();
        private final List<String[]> mWrites = new ArrayList<>();
        private char mMode = 'I';
        private boolean mPlain;
        private long mBeginTerm;

        Session(Server server, Socket socket) {
            mServer = server;
            mSocket = socket;
        }

        void serve() {
            try (mSocket) {
                InputStream input = new BufferedInputStream(mSocket.getInputStream());
                String line = readLine(input);
                while (line != null) {
                    String answer = answer(line);
                    if (answer == null) {
                        return;
                    }
                    mSocket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
                    line = readLine(input);
                }
            } catch (IOException e) {
                // The connection ended, which rolls back.
            } finally {
                mServer.mSockets.remove(mSocket);
            }
        }

        private String ready() {
            return "READY " + mMode + " " + mServer.received() + "\r\n";
        }

        private String done(String signature) {
            return "DONE " + signature + "\r\n" + ready();
        }

        private String error(String code) {
            mMode = mMode == 'T' ? 'E' : mMode;
            return "ERR " + code + " " + mServer.mId + "\r\n" + ready();
        }

        private String answer(String line) throws IOException {
            String[] words = line.split(" ", 3);
            if (words[0].equals("STARTUP")) {
                synchronized (Group.this) {
                    if (!awaitPath()) {
                        return null;
                    }
                }
                String[] who = words[2].split(" ");
                boolean isRight = words[1].equals(mService) && (who.length < 2 || who[1].equals(mServer.mId));
                return isRight ? ready() : "ERR WRONGHOST " + mServer.mId + "\r\n";
            }
            if (!words[0].equals("QUERY")) {
                return null;
            }
            String id = words[1];
            String text = words[2];
            if (text.startsWith("AFTER ")) {
                String[] parts = text.split(" ", 3);
                text = parts[2];
                if (compare(parts[1], mServer.received()) > 0) {
                    return error("LAGGING");
                }
            }
            synchronized (Group.this) {
                if (!awaitPath() || !mServer.mRunning) {
                    return null;
                }
                return run(id, text);
            }
        }

        /** Waits while the other side is cut off; false if a statement was lost that way. */
        private boolean awaitPath() {
            boolean isLost = false;
            while (mServer.mCutHosts.contains(mSocket.getInetAddress().getHostAddress())) {
                isLost = true;
                try {
                    Group.this.wait();
                } catch (InterruptedException e) {
                    return false;
                }
            }
            return !isLost;
        }

        private String run(String id, String text) {
            String[] words = text.split(" ", 3);
            boolean isPrimary = mServer.leads();
            boolean isEnd = words[0].equals("COMMIT") || words[0].equals("ABORT");
            if (mMode == 'E' && !isEnd) {
                return error("MALFORMED");
            }
            boolean hasLostLead = mMode == 'T' && mPlain && (!isPrimary || mBeginTerm != mServer.term());
            if (hasLostLead && !words[0].equals("ABORT")) {
                mWrites.clear();
                String answer = error("READONLY");
                if (isEnd) {
                    mMode = 'I';
                    return "ERR READONLY " + mServer.mId + "\r\n" + ready();
                }
                return answer;
            }
            switch (words[0]) {
                case "BEGIN":
                    if (words.length == 1 && !isPrimary) {
                        return error("READONLY");
                    }
                    mMode = 'T';
                    mPlain = words.length == 1;
                    mBeginTerm = mServer.term();
                    mWrites.clear();
                    return done("-");
                case "ABORT":
                    mMode = 'I';
                    mWrites.clear();
                    return done("-");
                case "SET":
                case "CLOSE":
                    return done("-");
                case "RESET":
                    mPrepared.clear();
                    return done("-");
                case "PARSE":
                    mPrepared.put(words[1], words[2]);
                    return done("-");
                case "STAT":
                    return status(isPrimary);
                case "STEPDOWN":
                    if (mServer == mUnaware && Long.parseLong(words[1]) > mUnawareTerm) {
                        mUnaware = null;
                        mRecord.line(mServer.mId, "steps down");
                    }
                    return status(mServer.leads());
                case "COMMIT":
                    return commit(id, text, isPrimary);
                default:
                    return data(id, text, words, isPrimary);
            }
        }

        private String status(boolean isPrimary) {
            return "ROW " + (isPrimary ? "primary " : "replica ") + mServer.term() + " " + mServer.received() + " 0 0 0 1\r\n" + done("-");
        }

        private void ran(String id, String text) {
            mRuns.add(new Run(mServer.mId, id, text, mRecord.seconds()));
            mRecord.line(mServer.mId, "runs " + id + " " + text);
        }

        private String digest() {
            mDigests++;
            return mServer.mId + "." + Long.toHexString(mDigests * 0x9E3779B97F4A7C15L);
        }

        private String commit(String id, String text, boolean isPrimary) {
            if (mMode == 'E') {
                mMode = 'I';
                mWrites.clear();
                return error("ABORTED");
            }
            if (!mWrites.isEmpty() && !append(id)) {
                return null;
            }
            ran(id, text);
            mMode = 'I';
            mWrites.clear();
            return done(digest());
        }

        private String data(String id, String text, String[] words, boolean isPrimary) {
            String kind = words[0].equals("EXECUTE") ? mPrepared.get(words[1]) : words[0];
            if (kind == null) {
                return error("NOSTMT");
            }
            String[] arguments = text.split(" ");
            int first = words[0].equals("EXECUTE") ? 2 : 1;
            if (kind.startsWith("WRITE")) {
                if (!isPrimary) {
                    return error("READONLY");
                }
                mWrites.add(new String[] {arguments[first], arguments[first + 1]});
                if (mMode == 'I') {
                    boolean isKept = append(id);
                    mWrites.clear();
                    if (!isKept) {
                        return null;
                    }
                }
                ran(id, text);
                return done(digest());
            }
            ran(id, text);
            return "ROW " + read(arguments[first]) + "\r\n" + done(digest());
        }

        private String read(String item) {
            String value = "none";
            for (Commit commit : mServer.mLog) {
                value = commit.item().equals(item) ? commit.value() : value;
            }
            return value;
        }

        /** Appends the writes to the log; false if the server stopped before it could be acknowledged. */
        private boolean append(String id) {
            List<Commit> commits = new ArrayList<>();
            long number = mServer.mLog.size();
            for (String[] write : mWrites) {
                number++;
                commits.add(new Commit(mServer.term(), number, id, write[0], write[1]));
            }
            mServer.mLog.addAll(commits);
            int receivers = 0;
            while (true) {
                receivers = 0;
                for (Server other : mServers.values()) {
                    if (other != mServer && other != mUnaware && other.mRunning && !other.mDeaf && !mServer.mCutOff && !other.mCutOff) {
                        other.copyLogOf(mServer);
                        receivers++;
                    }
                }
                if (receivers >= mSynchronousReplicas) {
                    return true;
                }
                try {
                    Group.this.wait(20);
                } catch (InterruptedException e) {
                    return false;
                }
                if (!mServer.mRunning || !mServer.leads()) {
                    return false;
                }
            }
        }
    }

    /** Compares two log positions of the form TERM.NUMBER. */
    static int compare(String left, String right) {
        String[] a = left.split("\\.");
        String[] b = right.split("\\.");
        int byTerm = Long.compare(Long.parseLong(a[0]), Long.parseLong(b[0]));
        return byTerm != 0 ? byTerm : Long.compare(Long.parseLong(a[1]), Long.parseLong(b[1]));
    }

    static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int before = -1;
        for (int unit = input.read(); unit >= 0; unit = input.read()) {
            if (before == '\r' && unit == '\n') {
                byte[] bytes = line.toByteArray();
                return new String(bytes, 0, bytes.length - 1, StandardCharsets.UTF_8);
            }
            line.write(unit);
            before = unit;
        }
        return null;
    }
}
