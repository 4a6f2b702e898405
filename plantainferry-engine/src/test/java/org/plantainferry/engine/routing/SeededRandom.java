package org.plantainferry.engine.routing;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Creates random sources for tests; {@code -Dplantainferry.seed=N} repeats a failed run. */
public final class SeededRandom {
    private SeededRandom() {}

    /** Returns a random source and prints its seed together with the name of the test. */
    public static UniformRandomProvider create(String test) {
        long seed = Long.getLong("plantainferry.seed", System.nanoTime());
        System.out.println(test + ": -Dplantainferry.seed=" + seed);
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }
}
