package quartzspan.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** Trailers of a request, which are neither used nor forwarded: each is dropped as it is decoded. */
final class DiscardedTrailers extends DefaultHttpHeaders {
    static final HttpHeadersFactory FACTORY = new HttpHeadersFactory() {
        @Override
        public HttpHeaders newHeaders() {
            return new DiscardedTrailers();
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return new DiscardedTrailers();
        }
    };

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        return this;
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        return this;
    }
}
