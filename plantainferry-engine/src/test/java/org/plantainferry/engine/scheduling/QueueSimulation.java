package org.plantainferry.engine.scheduling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.plantainferry.engine.admission.OfferResult;

/** Simulates statements that wait for a server with a fixed number of slots, in steps of 1 ms. */
final class QueueSimulation {
    static final long MILLI = 1_000_000L;
    private static final long SWEEP_MILLIS = 20;

    /** Describes a statement that arrives, in milliseconds. */
    record Arrival(long at, String workspace, int priority, long objective, long timeout) {
        /** Returns until when the statement may start, as the gateway sets it. */
        long deadlineNanos() {
            return (at + timeout * 9 / 10) * MILLI;
        }
    }

    /** Counts how the statements of one workspace ended. */
    static final class Outcome {
        int mAsked;
        int mInTime;
        int mServed;
        int mRefused;
        long mRefusedAfterMillis;

        double shareInTime() {
            return (double) mInTime / mAsked;
        }
    }

    /** Decides the order of the waiting statements. */
    interface Order {
        /** Adds a statement and returns those that are refused for it. */
        List<Arrival> offer(Arrival arrival, long nowNanos);

        Optional<Arrival> poll(long nowNanos);

        List<Arrival> sweep(long nowNanos);
    }

    /** Serves first come, first served, as the pool did before. */
    static final class ArrivalOrder implements Order {
        private final Deque<Arrival> mWaiting = new ArrayDeque<>();

        @Override
        public List<Arrival> offer(Arrival arrival, long nowNanos) {
            mWaiting.addLast(arrival);
            return List.of();
        }

        @Override
        public Optional<Arrival> poll(long nowNanos) {
            return Optional.ofNullable(mWaiting.pollFirst());
        }

        @Override
        public List<Arrival> sweep(long nowNanos) {
            List<Arrival> expired = new ArrayList<>(mWaiting);
            expired.removeIf(arrival -> arrival.deadlineNanos() - nowNanos > 0);
            mWaiting.removeAll(expired);
            return expired;
        }
    }

    /** Serves in the order of {@link StatementQueue}. */
    static final class UrgencyOrder implements Order {
        private final StatementQueue<Arrival> mQueue = new StatementQueue<>(1_024, 512, 2 * MILLI);
        private final long mServiceMillis;

        UrgencyOrder(long serviceMillis) {
            mServiceMillis = serviceMillis;
        }

        @Override
        public List<Arrival> offer(Arrival arrival, long nowNanos) {
            OfferResult<Arrival> result =
                    mQueue.offer(waiting(arrival, mServiceMillis), nowNanos, 0.5);
            if (result instanceof OfferResult.Queued<Arrival> queued) {
                return queued.displaced().stream().toList();
            }
            return List.of(arrival);
        }

        @Override
        public Optional<Arrival> poll(long nowNanos) {
            return mQueue.poll(nowNanos, waiting -> true);
        }

        @Override
        public List<Arrival> sweep(long nowNanos) {
            List<Arrival> removed = mQueue.removeExpired(nowNanos);
            removed.addAll(mQueue.removeHopeless(nowNanos));
            return removed;
        }
    }

    private final Map<String, Outcome> mOutcomes = new HashMap<>();

    static WaitingStatement<Arrival> waiting(Arrival arrival, long serviceMillis) {
        Urgency urgency =
                new Urgency(
                        arrival.workspace(),
                        arrival.priority(),
                        arrival.at() * MILLI,
                        (arrival.at() + arrival.objective()) * MILLI,
                        arrival.deadlineNanos());
        return new WaitingStatement<>(
                arrival, urgency, serviceMillis * MILLI, arrival.at() * MILLI);
    }

    /** Adds a statement each {@code gapMillis}, as long as {@code untilMillis}. */
    static void addRegularly(
            List<Arrival> arrivals, long untilMillis, double gapMillis, Arrival model) {
        for (double at = model.at(); at < untilMillis; at += gapMillis) {
            arrivals.add(
                    new Arrival(
                            (long) at,
                            model.workspace(),
                            model.priority(),
                            model.objective(),
                            model.timeout()));
        }
    }

    /** Runs the simulation; the server takes statements from time 0 on. */
    Map<String, Outcome> run(
            List<Arrival> arrivals, Order order, int slots, long serviceMillis, long untilMillis) {
        List<Arrival> sorted = new ArrayList<>(arrivals);
        sorted.sort(Comparator.comparingLong(Arrival::at));
        Deque<Arrival> coming = new ArrayDeque<>(sorted);
        Deque<Long> busyUntil = new ArrayDeque<>();
        for (long now = sorted.get(0).at(); now < untilMillis; now++) {
            while (!coming.isEmpty() && coming.getFirst().at() <= now) {
                Arrival arrival = coming.pollFirst();
                outcome(arrival).mAsked++;
                refuse(order.offer(arrival, now * MILLI), now);
            }
            if (now % SWEEP_MILLIS == 0) {
                refuse(order.sweep(now * MILLI), now);
            }
            while (!busyUntil.isEmpty() && busyUntil.getFirst() <= now) {
                busyUntil.removeFirst();
            }
            while (now >= 0 && busyUntil.size() < slots) {
                Optional<Arrival> next = order.poll(now * MILLI);
                if (next.isEmpty()) {
                    break;
                }
                busyUntil.addLast(now + serviceMillis);
                serve(next.get(), now + serviceMillis);
            }
        }
        return mOutcomes;
    }

    private Outcome outcome(Arrival arrival) {
        return mOutcomes.computeIfAbsent(arrival.workspace(), key -> new Outcome());
    }

    private void refuse(List<Arrival> refused, long now) {
        for (Arrival arrival : refused) {
            outcome(arrival).mRefused++;
            outcome(arrival).mRefusedAfterMillis += now - arrival.at();
        }
    }

    private void serve(Arrival arrival, long answeredAt) {
        if (answeredAt > arrival.at() + arrival.timeout()) {
            return;
        }
        outcome(arrival).mServed++;
        if (answeredAt <= arrival.at() + arrival.objective()) {
            outcome(arrival).mInTime++;
        }
    }
}
