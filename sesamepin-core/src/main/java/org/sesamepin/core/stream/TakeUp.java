package org.sesamepin.core.stream;

import java.util.Collection;
import org.jspecify.annotations.Nullable;

/**
 * A stream that its caller takes up.
 *
 * @param streamId id of the attempt that, by the caller's word, brought the first event; null when
 *     the caller names none
 * @param customer customer who asks; null for an anonymous caller
 * @param services services to which the route sends
 */
public record TakeUp(
        @Nullable String streamId, @Nullable String customer, Collection<String> services) {
    /** Returns the digest of the stream, or null when the caller names none. */
    public @Nullable Long key() {
        return streamId == null ? null : StreamKey.of(customer, streamId);
    }
}
