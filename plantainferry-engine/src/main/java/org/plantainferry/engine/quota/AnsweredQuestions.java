package org.plantainferry.engine.quota;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Remembers the newest questions for tokens, so that one that arrives twice is answered once.
 *
 * <p>The asking instance counts one answer to each of its questions, so tokens that are taken for a
 * second one are lost to all callers. Not thread-safe.
 *
 * @since 0.4
 */
public final class AnsweredQuestions {
    /** The number of questions that are remembered. */
    static final int MAX_QUESTIONS = 4_096;

    private final Set<Question> mQuestions =
            Collections.newSetFromMap(
                    new LinkedHashMap<>() {
                        @Override
                        protected boolean removeEldestEntry(Map.Entry<Question, Boolean> eldest) {
                            return size() > MAX_QUESTIONS;
                        }
                    });

    private record Question(String instance, long number) {
        // Written out, because a generated method is linked at run time in each process.
        @Override
        public boolean equals(Object other) {
            return other instanceof Question that
                    && number == that.number
                    && instance.equals(that.instance);
        }

        @Override
        public int hashCode() {
            int hash = instance.hashCode();
            hash = 31 * hash + Long.hashCode(number);
            return hash;
        }
    }

    /** Records a question; returns whether it had not been recorded. */
    public boolean isFirst(String instance, long number) {
        return mQuestions.add(new Question(instance, number));
    }
}
