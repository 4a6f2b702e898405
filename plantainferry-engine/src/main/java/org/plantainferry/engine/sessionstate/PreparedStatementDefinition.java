package org.plantainferry.engine.sessionstate;

/**
 * Identifies what a prepared statement does, independent of its name.
 *
 * @param writes whether the statement changes data
 * @param text the text that was prepared
 * @since 0.2
 */
public record PreparedStatementDefinition(boolean writes, String text) {
    // Written out, because a generated method is linked at run time in each process.
    @Override
    public boolean equals(Object other) {
        return other instanceof PreparedStatementDefinition that
                && writes == that.writes
                && text.equals(that.text);
    }

    @Override
    public int hashCode() {
        int hash = Boolean.hashCode(writes);
        hash = 31 * hash + text.hashCode();
        return hash;
    }
}
