package org.sesamepin.standin;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;

/** Counts the requests in which a caller's key reached a target in any form. */
public final class KeyLeakCounter {
    private static final Pattern KEY_PATTERN =
            Pattern.compile("sp_[A-Za-z0-9._-]+_[A-Za-z0-9-]{32}");

    private final AtomicLong mCount = new AtomicLong();

    /** Looks at the request line, the headers and the body. */
    public void inspect(HttpServerRequest request, Buffer body) {
        boolean seen =
                KEY_PATTERN.matcher(request.uri()).find()
                        || KEY_PATTERN.matcher(body.toString()).find();
        for (var header : request.headers()) {
            seen |= KEY_PATTERN.matcher(header.getValue()).find();
        }
        if (seen) {
            mCount.incrementAndGet();
        }
    }

    public long count() {
        return mCount.get();
    }
}
