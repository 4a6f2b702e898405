package org.plantainferry.verification.scenario;

import java.util.List;
import java.util.regex.Pattern;

/** Lists the actions of scenarios with their syntax and the kinds of their arguments. */
enum ActionKind {
    FREEZE_PRIMARY("freeze primary (\\S+)", Argument.SERVICE),
    THAW_SERVERS("thaw primary (\\S+)", Argument.SERVICE),
    STOP_PRIMARY("stop primary (\\S+)", Argument.SERVICE),
    START_SERVERS("start (\\S+)", Argument.SERVICE),
    CUT_PRIMARY("cut primary (\\S+) with instances (\\S+)", Argument.SERVICE, Argument.INSTANCES),
    CUT_DOMAINS("cut domain (\\S+) from domain (\\S+)", Argument.DOMAIN, Argument.DOMAIN),
    CUT_STORE("cut domain (\\S+) from store", Argument.DOMAIN),
    CUT_OTHERS("cut domain (\\S+) from others", Argument.DOMAIN),
    HEAL("heal (.+)", Argument.TEXT),
    STORE_OUTAGE("store outage"),
    STORE_BACK("store back"),
    STORE_SLOW("store slow (\\d+)ms", Argument.NUMBER),
    STORE_LOSE_ANSWERS("store lose-answers (\\d+)", Argument.NUMBER),
    KILL_INSTANCE("kill instance (\\S+)", Argument.INSTANCE),
    FREEZE_INSTANCE("freeze instance (\\S+)", Argument.INSTANCE),
    THAW_INSTANCE("thaw instance (\\S+)", Argument.INSTANCE),
    TERMINATE_INSTANCE("terminate instance (\\S+)", Argument.INSTANCE),
    RESTART_INSTANCE("restart instance (\\S+)", Argument.INSTANCE),
    LAG("lag (\\S+) (\\d+)(?:ms)?", Argument.SERVER, Argument.NUMBER),
    WITHDRAW_KEY("withdraw key (\\S+)", Argument.KEY),
    LEAVING("leaving (\\S+)", Argument.SERVER),
    APPLY_NOTE("apply note by two operators");

    /** Lists the kinds of arguments of actions. */
    enum Argument {
        SERVICE,
        SERVER,
        DOMAIN,
        INSTANCE,
        INSTANCES,
        KEY,
        NUMBER,
        TEXT
    }

    private final Pattern mPattern;
    private final List<Argument> mArguments;

    ActionKind(String pattern, Argument... arguments) {
        mPattern = Pattern.compile(pattern);
        mArguments = List.of(arguments);
    }

    Pattern pattern() {
        return mPattern;
    }

    List<Argument> arguments() {
        return mArguments;
    }
}
