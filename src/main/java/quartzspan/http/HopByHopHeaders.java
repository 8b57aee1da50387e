package quartzspan.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/** Headers that concern only the connection on which a message was received (RFC 9110, section 7.6.1). */
public final class HopByHopHeaders {
    private HopByHopHeaders() {}

    /**
     * Copies headers without those that the Connection header names. Takes time in proportion to the headers and the names, however
     * many there are.
     */
    public static HttpHeaders withoutConnectionOptions(HttpHeaders received) {
        Set<String> options = connectionOptions(received);
        if (options.isEmpty()) {
            return new DefaultHttpHeaders().set(received);
        }
        HttpHeaders headers =
                DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders();
        received.forEach(header -> {
            if (!options.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                headers.add(header.getKey(), header.getValue());
            }
        });
        return headers;
    }

    /** The names of headers that the Connection header lists, in lower case. */
    private static Set<String> connectionOptions(HttpHeaders received) {
        Set<String> options = new HashSet<>();
        for (String names : received.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : names.split(",")) {
                options.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        return options;
    }
}
