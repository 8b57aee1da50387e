package quartzspan.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.AsciiString;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** A request to an upstream server, without the hop-by-hop headers of the client's connection. */
public record OutgoingRequest(String method, String uri, HttpHeaders headers, byte[] body) {
    public static final AsciiString DEADLINE_HEADER = AsciiString.cached("x-deadline-ms");

    private static final int MAX_BYTE = 0xFF;

    /** Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that are set for each attempt. */
    private static final List<AsciiString> NOT_FORWARDED_HEADERS = List.of(
            HttpHeaderNames.CONNECTION,
            AsciiString.cached("keep-alive"),
            AsciiString.cached("proxy-connection"),
            HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.EXPECT,
            HttpHeaderNames.CONTENT_LENGTH,
            DEADLINE_HEADER);

    /** Copies a client's request without its hop-by-hop headers, including those listed in its Connection header. */
    public static OutgoingRequest of(HttpRequest clientRequest, byte[] body) {
        HttpHeaders headers = HopByHopHeaders.withoutConnectionOptions(clientRequest.headers());
        NOT_FORWARDED_HEADERS.forEach(headers::remove);
        return new OutgoingRequest(clientRequest.method().name(), clientRequest.uri(), headers, body);
    }

    /** A health check request. */
    public static OutgoingRequest healthCheck() {
        return new OutgoingRequest(
                "GET", "/-/healthy", new DefaultHttpHeaders().set(HttpHeaderNames.HOST, "origin.svc"), new byte[0]);
    }

    /**
     * Encodes the complete request into one buffer, so that a successful write means that the last byte was written. A codec
     * writes head and body separately. The body's bytes are not copied.
     */
    EncodedRequest encode(long deadlineMs) {
        StringBuilder text = new StringBuilder(256);
        text.append(method).append(' ').append(uri).append(" HTTP/1.1\r\n");
        for (Map.Entry<String, String> header : headers) {
            text.append(header.getKey()).append(": ").append(header.getValue()).append("\r\n");
        }
        text.append("X-Deadline-Ms: ").append(deadlineMs).append("\r\n");
        if (body.length > 0 || !method.equals("GET")) {
            text.append("Content-Length: ").append(body.length).append("\r\n");
        }
        text.append("\r\n");
        requireBytes(text);
        byte[] head = text.toString().getBytes(StandardCharsets.ISO_8859_1);
        return new EncodedRequest(Unpooled.wrappedBuffer(head, body), head.length);
    }

    /** A head holds one character for each byte; anything else would be sent as question marks, the same for different texts. */
    private static void requireBytes(CharSequence head) {
        if (head.chars().anyMatch(character -> character > MAX_BYTE)) {
            throw new IllegalArgumentException("the head of a request has characters that are not bytes");
        }
    }
}
