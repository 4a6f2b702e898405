package org.plantainferry.gateway.spi;

import java.util.Optional;

/**
 * Represents one object of a feed.
 *
 * @param name the name of the object
 * @param revision the revision of its last change
 * @param value its content; empty if it was removed or is invalid
 * @since 0.2
 */
public record FeedEntry<T>(String name, long revision, Optional<T> value) {
    // Written out, because a generated method is linked at run time in each process.
    @Override
    public boolean equals(Object other) {
        return other instanceof FeedEntry<?> that
                && revision == that.revision
                && name.equals(that.name)
                && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        int hash = name.hashCode();
        hash = 31 * hash + Long.hashCode(revision);
        hash = 31 * hash + value.hashCode();
        return hash;
    }
}
