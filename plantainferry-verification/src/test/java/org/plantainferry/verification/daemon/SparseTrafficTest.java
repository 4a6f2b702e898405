package org.plantainferry.verification.daemon;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.plantainferry.verification.daemon.LocalFleet.Answer;
import org.testng.annotations.Test;

/**
 * Guards against refusals of workspaces far inside their rate whose callers come rarely and through
 * changing instances.
 */
public class SparseTrafficTest {
    private static final int REQUESTS = 400;

    // Listed in KNOWN-RED.txt.
    @Test(groups = "known-red")
    public void refusesNoRareRequestInsideTheRate() throws IOException, InterruptedException {
        long seed = 77;
        Random random = new Random(seed);
        int refused = 0;
        String example = "";
        try (LocalFleet fleet = new LocalFleet("como-a", "como-a", "lecco-a")) {
            for (int round = 0; round < REQUESTS; round++) {
                String key = random.nextBoolean() ? LocalFleet.KEY : LocalFleet.OTHER_KEY;
                Answer answer =
                        fleet.read(random.nextInt(3), "x", "Authorization", "Bearer " + key);
                if (!answer.isResult()) {
                    refused++;
                    example = "round " + round + ": " + answer;
                }
                TimeUnit.MILLISECONDS.sleep(random.nextInt(60));
            }
        }
        assertEquals(refused, 0, "refused of " + REQUESTS + ", seed " + seed + ", " + example);
    }
}
