package org.sesamepin.standin;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;

/** Counts the requests with which a caller's key reached a target in any part of the request. */
public final class KeyLeakCounter {
    private static final Pattern KEY_PATTERN =
            Pattern.compile("sp_[A-Za-z0-9._-]+_[A-Za-z0-9-]{32}");

    private final AtomicLong mCount = new AtomicLong();

    /** Counts the request if its URI, one of its headers or its body contains a caller's key. */
    public void inspect(HttpServerRequest request, Buffer body) {
        boolean containsKey =
                KEY_PATTERN.matcher(request.uri()).find()
                        || KEY_PATTERN.matcher(body.toString()).find();
        for (var header : request.headers()) {
            containsKey |= KEY_PATTERN.matcher(header.getValue()).find();
        }
        if (containsKey) {
            mCount.incrementAndGet();
        }
    }

    public long count() {
        return mCount.get();
    }
}
