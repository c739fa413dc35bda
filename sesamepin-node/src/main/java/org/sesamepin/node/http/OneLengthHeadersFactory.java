package org.sesamepin.node.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * Creates headers of received messages that refuse a second, different length. The decoder refuses
 * it in HTTP/1.1 only; in HTTP/1.0 it keeps the first one, and the other is lost.
 */
final class OneLengthHeadersFactory implements HttpHeadersFactory {
    @Override
    public HttpHeaders newHeaders() {
        return new OneLengthHeaders();
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
        return new OneLengthHeaders();
    }

    private static final class OneLengthHeaders extends DefaultHttpHeaders {
        @Override
        public HttpHeaders add(String name, Object value) {
            checkLength(name, value);
            return super.add(name, value);
        }

        @Override
        public HttpHeaders add(CharSequence name, Object value) {
            checkLength(name, value);
            return super.add(name, value);
        }

        private void checkLength(CharSequence name, Object value) {
            if (!HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)) {
                return;
            }
            String present = get(HttpHeaderNames.CONTENT_LENGTH);
            if (present != null && !present.strip().equals(value.toString().strip())) {
                throw new IllegalArgumentException("two different lengths");
            }
        }
    }
}
