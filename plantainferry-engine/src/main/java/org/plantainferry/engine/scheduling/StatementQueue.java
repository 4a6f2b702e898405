package org.plantainferry.engine.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.plantainferry.api.Preconditions;
import org.plantainferry.engine.admission.OfferResult;
import org.plantainferry.engine.admission.ServiceIntervalEstimator;

/**
 * Orders the statements that wait for one server.
 *
 * <p>Statements that can still meet their latency objective go first, by the priority of their
 * route, and then those that are late, by priority. Statements of one priority are served fairly
 * among workspaces. Each such class of statements has at least one of {@link #turnPeriod} turns
 * while it waits, so that none waits for ever. Not thread-safe.
 *
 * @param <T> the type of the statements
 * @since 0.4
 */
public final class StatementQueue<T> {
    private static final int MAX_PRIORITY = 7;
    private static final int LATE_RANK_OFFSET = MAX_PRIORITY + 1;
    private static final int MIN_TURN_PERIOD = 16;
    // The guaranteed turns of all classes together are at most a quarter of the turns.
    private static final int TURNS_PER_CLASS = 4;
    // An estimate from fewer turns refuses nothing.
    private static final int MIN_LEARNED_TURNS = 16;
    private static final long MIN_RETRY_MILLIS = 5;
    private static final long MAX_RETRY_MILLIS = 5_000;

    private final int mTotalLimit;
    private final int mWorkspaceLimit;
    private final ServiceIntervalEstimator mInterval;
    private final TreeMap<Integer, UrgencyClass<T>> mClasses = new TreeMap<>();
    private final List<T> mExpired = new ArrayList<>();
    private int mLearnedTurns;
    private long mRefusedEarly;
    private long mDisplaced;
    private long mPassedOver;
    private long mExpiredTotal;

    /**
     * Describes the statement that is next.
     *
     * @param waiting the statement
     * @param turn the position of its class in the order of turns; 0 is first
     * @param <T> the type of the statements
     */
    public record Candidate<T>(WaitingStatement<T> waiting, int turn) {}

    /**
     * Creates an empty queue.
     *
     * @param totalLimit the maximum number of waiting statements
     * @param workspaceLimit the maximum number of waiting statements of one workspace
     * @param intervalNanos the initial estimate of the time between two statements
     */
    public StatementQueue(int totalLimit, int workspaceLimit, long intervalNanos) {
        Preconditions.condition(totalLimit >= 1, "totalLimit must be at least 1: " + totalLimit);
        Preconditions.condition(
                workspaceLimit >= 1, "workspaceLimit must be at least 1: " + workspaceLimit);
        mTotalLimit = totalLimit;
        mWorkspaceLimit = workspaceLimit;
        mInterval = new ServiceIntervalEstimator(intervalNanos);
    }

    /**
     * Adds a statement. Refuses it if by estimate it cannot start before its deadline, or if the
     * queue is full and no other statement is to give way.
     *
     * @param random a number from 0 to 1 that spreads the times at which refused callers return
     */
    public OfferResult<T> offer(WaitingStatement<T> waiting, long nowNanos, double random) {
        Preconditions.notNull(waiting, "waiting");
        moveLate(nowNanos);
        long remaining = waiting.urgency().deadlineNanos() - nowNanos;
        long wait = estimatedWaitNanos(waiting, nowNanos);
        if (remaining <= 0 || wait > remaining) {
            return refused(OfferResult.Reason.WAIT_TOO_LONG, waiting, nowNanos, random);
        }
        Optional<T> displaced = Optional.empty();
        boolean isOwnLimit = size(waiting.workspace()) >= mWorkspaceLimit;
        if (isOwnLimit || size() >= mTotalLimit) {
            collectExpired(nowNanos);
            isOwnLimit = size(waiting.workspace()) >= mWorkspaceLimit;
        }
        if (isOwnLimit || size() >= mTotalLimit) {
            displaced = displace(waiting, isOwnLimit, nowNanos);
            if (displaced.isEmpty()) {
                OfferResult.Reason reason =
                        isOwnLimit
                                ? OfferResult.Reason.WORKSPACE_LIMIT
                                : OfferResult.Reason.TOTAL_LIMIT;
                return refused(reason, waiting, nowNanos, random);
            }
        }
        if (size() == 0) {
            mInterval.onBusy(nowNanos);
        }
        classOf(waiting, nowNanos).add(waiting, nowNanos);
        return new OfferResult.Queued<>(displaced);
    }

    private OfferResult<T> refused(
            OfferResult.Reason reason, WaitingStatement<T> waiting, long nowNanos, double random) {
        mRefusedEarly++;
        return new OfferResult.Refused<>(
                reason, retryAfterMillis(waiting.urgency(), nowNanos, random));
    }

    private long estimatedWaitNanos(WaitingStatement<T> waiting, long nowNanos) {
        int rank = rankOf(waiting, nowNanos);
        UrgencyClass<T> own = mClasses.get(rank);
        if (mLearnedTurns < MIN_LEARNED_TURNS) {
            return 0;
        }
        long others = othersFirstNanos(rank);
        if (own == null) {
            return others;
        }
        return Math.max(
                others,
                own.estimatedWaitNanos(waiting.workspace(), nowNanos, maximumIntervalNanos()));
    }

    /** Returns the time that more urgent statements take before the next turn of a class. */
    private long othersFirstNanos(int rank) {
        int ahead = countUrgencies(mClasses.headMap(rank).values());
        return Math.min(ahead, turnPeriod()) * mInterval.intervalNanos();
    }

    private long maximumIntervalNanos() {
        return turnPeriod() * mInterval.intervalNanos();
    }

    private static <T> int countUrgencies(Collection<UrgencyClass<T>> classes) {
        return classes.stream().mapToInt(UrgencyClass::size).sum();
    }

    private static int level(Urgency urgency) {
        return Math.min(MAX_PRIORITY, urgency.priority());
    }

    private int rankOf(WaitingStatement<T> waiting, long nowNanos) {
        int level = level(waiting.urgency());
        return waiting.isLate(nowNanos) ? LATE_RANK_OFFSET + level : level;
    }

    private UrgencyClass<T> classOf(WaitingStatement<T> waiting, long nowNanos) {
        return mClasses.computeIfAbsent(
                rankOf(waiting, nowNanos),
                rank ->
                        new UrgencyClass<>(
                                level(waiting.urgency()),
                                rank >= LATE_RANK_OFFSET,
                                mTotalLimit,
                                mInterval.intervalNanos()));
    }

    private void moveLate(long nowNanos) {
        for (UrgencyClass<T> urgencyClass : List.copyOf(mClasses.values())) {
            for (WaitingStatement<T> late : urgencyClass.removeLate(nowNanos)) {
                mPassedOver++;
                classOf(late, nowNanos).add(late, nowNanos);
            }
        }
    }

    /**
     * Removes the statement that gives way to a new one: the least urgent of the workspace with the
     * longest queue. A statement never gives way to a less urgent one, and one of a workspace with
     * a shorter queue only to a more urgent one.
     */
    private Optional<T> displace(WaitingStatement<T> newcomer, boolean withinWorkspace, long now) {
        int rank = rankOf(newcomer, now);
        String own = newcomer.workspace();
        String longest = withinWorkspace ? own : longestWorkspace();
        int victimRank = leastUrgentRank(longest);
        boolean isFairer = !longest.equals(own) && size(longest) - 1 >= size(own) + 1;
        if (victimRank > rank || (victimRank == rank && isFairer)) {
            return displaceLast(victimRank, longest);
        }
        int lastRank = leastUrgentRank();
        if (withinWorkspace || lastRank <= rank) {
            return Optional.empty();
        }
        UrgencyClass<T> last = mClasses.get(lastRank);
        return last.workspaces().stream()
                .max(Comparator.comparingInt(last::size))
                .flatMap(workspace -> displaceLast(lastRank, workspace));
    }

    private Optional<T> displaceLast(int rank, String workspace) {
        mDisplaced++;
        return mClasses.get(rank).removeLast(workspace).map(WaitingStatement::statement);
    }

    private String longestWorkspace() {
        Set<String> workspaces = new HashSet<>();
        mClasses.values().forEach(urgencyClass -> workspaces.addAll(urgencyClass.workspaces()));
        return workspaces.stream()
                .max(Comparator.<String>comparingInt(this::size).thenComparing(name -> name))
                .orElse("");
    }

    private int leastUrgentRank(String workspace) {
        return mClasses.descendingMap().entrySet().stream()
                .filter(entry -> entry.getValue().size(workspace) > 0)
                .mapToInt(Map.Entry::getKey)
                .findFirst()
                .orElse(-1);
    }

    private int leastUrgentRank() {
        return mClasses.descendingMap().entrySet().stream()
                .filter(entry -> !entry.getValue().isEmpty())
                .mapToInt(Map.Entry::getKey)
                .findFirst()
                .orElse(-1);
    }

    /** Returns the number of turns of which each class of statements has at least one. */
    int turnPeriod() {
        int classes = (int) mClasses.values().stream().filter(one -> !one.isEmpty()).count();
        return Math.max(MIN_TURN_PERIOD, classes * TURNS_PER_CLASS);
    }

    /** Returns the classes in the order in which they are asked for the next statement. */
    private List<UrgencyClass<T>> turns() {
        List<UrgencyClass<T>> turns = new ArrayList<>(mClasses.size());
        mClasses.values().stream().filter(one -> !one.isEmpty()).forEach(turns::add);
        int period = turnPeriod();
        turns.sort(
                Comparator.comparingInt(
                        one -> one.passedOver() + 1 >= period ? -one.passedOver() : 0));
        return turns;
    }

    /** Returns the statement that {@link #poll} would return, without removing it. */
    public Optional<Candidate<T>> peek(long nowNanos, Predicate<WaitingStatement<T>> condition) {
        moveLate(nowNanos);
        int turn = 0;
        for (UrgencyClass<T> urgencyClass : turns()) {
            Optional<WaitingStatement<T>> found = urgencyClass.peek(nowNanos, condition);
            if (found.isPresent()) {
                return Optional.of(new Candidate<>(found.get(), turn));
            }
            turn++;
        }
        return Optional.empty();
    }

    /**
     * Removes and returns the next statement that has not expired and that matches. The others keep
     * their order.
     */
    public Optional<T> poll(long nowNanos, Predicate<WaitingStatement<T>> condition) {
        moveLate(nowNanos);
        for (UrgencyClass<T> urgencyClass : turns()) {
            Optional<WaitingStatement<T>> taken = urgencyClass.poll(nowNanos, condition);
            if (taken.isPresent()) {
                onTurn(urgencyClass, nowNanos);
                return taken.map(WaitingStatement::statement);
            }
        }
        return Optional.empty();
    }

    private void onTurn(UrgencyClass<T> served, long nowNanos) {
        boolean isBusy = size() > 0;
        mInterval.onServed(nowNanos, isBusy);
        if (isBusy && mLearnedTurns < MIN_LEARNED_TURNS) {
            mLearnedTurns++;
        }
        for (UrgencyClass<T> other : mClasses.values()) {
            if (other != served && !other.isEmpty()) {
                other.onPassedOver();
            }
        }
    }

    /** Removes and returns the statements whose deadline has passed. */
    public List<T> removeExpired(long nowNanos) {
        collectExpired(nowNanos);
        List<T> expired = new ArrayList<>(mExpired);
        mExpired.clear();
        return expired;
    }

    private void collectExpired(long nowNanos) {
        for (UrgencyClass<T> urgencyClass : mClasses.values()) {
            for (WaitingStatement<T> expired : urgencyClass.removeExpired(nowNanos)) {
                mExpiredTotal++;
                mExpired.add(expired.statement());
            }
        }
        checkIdle();
    }

    /** Removes and returns the statements that by estimate cannot start before their deadline. */
    public List<T> removeHopeless(long nowNanos) {
        moveLate(nowNanos);
        List<T> removed = new ArrayList<>();
        if (mLearnedTurns < MIN_LEARNED_TURNS) {
            return removed;
        }
        mClasses.forEach(
                (rank, urgencyClass) ->
                        urgencyClass
                                .removeHopeless(
                                        nowNanos, maximumIntervalNanos(), othersFirstNanos(rank))
                                .forEach(hopeless -> removed.add(hopeless.statement())));
        mRefusedEarly += removed.size();
        checkIdle();
        return removed;
    }

    /** Removes and returns all statements that match. */
    public List<T> removeIf(Predicate<T> condition) {
        List<T> removed = new ArrayList<>();
        for (UrgencyClass<T> urgencyClass : mClasses.values()) {
            urgencyClass
                    .removeIf(waiting -> condition.test(waiting.statement()))
                    .forEach(waiting -> removed.add(waiting.statement()));
        }
        checkIdle();
        return removed;
    }

    private void checkIdle() {
        if (size() == 0) {
            mInterval.onIdle();
        }
    }

    /**
     * Returns when the caller of a refused statement may return, in milliseconds: about when the
     * statements that are at least as urgent have left, spread so that callers do not return
     * together.
     *
     * @param random a number from 0 to 1
     */
    public long retryAfterMillis(Urgency urgency, long nowNanos, double random) {
        int rank = urgency.isLate(nowNanos) ? LATE_RANK_OFFSET + level(urgency) : level(urgency);
        int ahead = countUrgencies(mClasses.headMap(rank, true).values());
        double backlogNanos = (double) (ahead + 1) * mInterval.intervalNanos();
        long millis = TimeUnit.NANOSECONDS.toMillis((long) (backlogNanos * (0.5 + random)));
        return Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, millis));
    }

    /** Returns the number of waiting statements. */
    public int size() {
        return countUrgencies(mClasses.values());
    }

    /** Returns the number of waiting statements of a workspace. */
    public int size(String workspace) {
        return mClasses.values().stream().mapToInt(one -> one.size(workspace)).sum();
    }

    /** Records that a class has had a turn because a connection is opened for it. */
    void onTurnSpent(int turn) {
        turns().get(turn).onTurn();
    }

    /** Returns the waiting statements of the class that has a position in the order of turns. */
    List<WaitingStatement<T>> waitingAt(int turn) {
        return turns().get(turn).waiting();
    }

    /** Returns the numbers of waiting statements and of those that left without being served. */
    public WaitingSnapshot snapshot() {
        Map<Integer, Integer> waiting = new HashMap<>();
        int late = 0;
        for (UrgencyClass<T> urgencyClass : mClasses.values()) {
            if (!urgencyClass.isEmpty()) {
                waiting.merge(urgencyClass.priority(), urgencyClass.size(), Integer::sum);
                late += urgencyClass.isLate() ? urgencyClass.size() : 0;
            }
        }
        return new WaitingSnapshot(
                waiting, late, mRefusedEarly, mDisplaced, mPassedOver, mExpiredTotal);
    }
}
