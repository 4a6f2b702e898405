package org.plantainferry.engine.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Guards against refusals of a workspace inside its rate while its allocator is slow to answer. */
public final class WorkspaceTokenBucketTest {
    private static final long START = 5_000_000_000L;
    private static final long SLOW_ANSWER = TimeUnit.MILLISECONDS.toNanos(250);

    @Test
    public void holdsARequestUntilTheFirstAnswerOfASlowAllocator() {
        WorkspaceTokenBucket bucket = new WorkspaceTokenBucket(START);
        assertTrue(bucket.tryAcquire(START) instanceof Acquisition.Wait);
        assertTrue(bucket.maximumWaitNanos() > SLOW_ANSWER);
        long beforeAnswer = START + SLOW_ANSWER - 1;
        assertTrue(bucket.retryAcquire(beforeAnswer) instanceof Acquisition.Wait);
        long answered = START + SLOW_ANSWER;
        bucket.installGrant(answered, 1, 3, 2, answered + ShareTiming.GRANT_LIFETIME_NANOS);
        bucket.endTokenRequest(answered, true);
        assertTrue(bucket.retryAcquire(answered) instanceof Acquisition.Granted);
    }

    @Test
    public void refusesSoonWhenTheAllocatorHasAnsweredBefore() {
        WorkspaceTokenBucket bucket = new WorkspaceTokenBucket(START);
        bucket.installGrant(START, 0, 0, 0, START + ShareTiming.GRANT_LIFETIME_NANOS);
        assertTrue(bucket.tryAcquire(START) instanceof Acquisition.Wait);
        assertEquals(bucket.maximumWaitNanos(), ShareTiming.MAXIMUM_WAIT_NANOS);
        long late = START + ShareTiming.MAXIMUM_WAIT_NANOS;
        assertTrue(bucket.retryAcquire(late) instanceof Acquisition.Refused);
    }
}
