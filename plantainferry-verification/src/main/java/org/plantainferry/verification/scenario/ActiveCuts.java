package org.plantainferry.verification.scenario;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Records how to heal each active cut, by the words that follow "cut" in the scenario. */
final class ActiveCuts {
    private final Map<String, List<Runnable>> mHealActions = new LinkedHashMap<>();

    /** Returns the name of the cut that an action makes; empty for other actions. */
    static Optional<String> nameOf(Scenario.TimedAction action) {
        List<String> arguments = action.arguments();
        return switch (action.kind()) {
            case CUT_PRIMARY -> Optional.of("primary " + arguments.get(0));
            case CUT_DOMAINS ->
                    Optional.of("domain " + arguments.get(0) + " from domain " + arguments.get(1));
            case CUT_STORE -> Optional.of("domain " + arguments.get(0) + " from store");
            case CUT_OTHERS -> Optional.of("domain " + arguments.get(0) + " from others");
            default -> Optional.empty();
        };
    }

    /** Runs a cut and records the action that heals it. */
    void cut(String name, Runnable cut, Runnable heal) {
        cut.run();
        mHealActions.computeIfAbsent(name, key -> new ArrayList<>()).add(heal);
    }

    void heal(String name) {
        if (name.equals("all")) {
            List.copyOf(mHealActions.keySet()).forEach(this::heal);
            return;
        }
        Optional.ofNullable(mHealActions.remove(name))
                .ifPresent(healActions -> healActions.forEach(Runnable::run));
    }
}
