package org.plantainferry.verification.scenario;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Remembers how to end each cut, by the words that follow "cut" in the scenario. */
final class ActiveCuts {
    private final Map<String, List<Runnable>> mHealActions = new LinkedHashMap<>();

    /** Returns the words that name the cut of an action; empty for other actions. */
    static Optional<String> nameOf(Scenario.TimedAction action) {
        List<String> words = action.arguments();
        return switch (action.kind()) {
            case CUT_PRIMARY -> Optional.of("primary " + words.get(0));
            case CUT_DOMAINS ->
                    Optional.of("domain " + words.get(0) + " from domain " + words.get(1));
            case CUT_STORE -> Optional.of("domain " + words.get(0) + " from store");
            case CUT_OTHERS -> Optional.of("domain " + words.get(0) + " from others");
            default -> Optional.empty();
        };
    }

    /** Cuts now and remembers how to heal. */
    void cut(String name, Runnable cut, Runnable heal) {
        cut.run();
        mHealActions.computeIfAbsent(name, key -> new ArrayList<>()).add(heal);
    }

    void heal(String name) {
        if (name.equals("all")) {
            List.copyOf(mHealActions.keySet()).forEach(this::heal);
            return;
        }
        Optional.ofNullable(mHealActions.remove(name)).ifPresent(all -> all.forEach(Runnable::run));
    }
}
