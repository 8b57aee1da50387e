package quartzspan.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValidationUtil;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.Map;

/**
 * Strict message framing by RFC 9112. Netty's codec repairs ambiguous messages and continues; a proxy must reject them: if its
 * client and its server parse a message differently, it can hide a second request (request smuggling) or a truncated response.
 */
public final class HttpFraming {
    public static final int MAX_BODY_BYTES = 64 * 1024;
    /** Largest message head; the same as the codec's default. */
    public static final int MAX_HEADER_BYTES = 8 * 1024;

    static HttpDecoderConfig strictConfig(int maxHeaderBytes) {
        return new HttpDecoderConfig()
                .setStrictLineParsing(true)
                .setAllowDuplicateContentLengths(false)
                .setMaxInitialLineLength(maxHeaderBytes / 2)
                .setMaxHeaderSize(maxHeaderBytes);
    }

    private HttpFraming() {}

    /** Decodes server responses; an ambiguous message is a decoding error. */
    static class ResponseDecoder extends HttpResponseDecoder {
        ResponseDecoder() {
            super(strictConfig(MAX_HEADER_BYTES));
        }

        /** Whether undecoded input is buffered, such as the start of another message. */
        boolean hasBufferedInput() {
            return actualReadableBytes() > 0;
        }

        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw twoLengths();
        }

        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            requireColon(line, start + length);
            return super.splitHeaderName(line, start, length);
        }
    }

    /** The failure of a message that declares its length twice. */
    static IllegalArgumentException twoLengths() {
        return new IllegalArgumentException("message has both Transfer-Encoding and Content-Length");
    }

    /** Rejects header lines without a colon, which the codec accepts as a header with an empty value. */
    static void requireColon(byte[] line, int index) {
        if (index >= line.length || line[index] != ':') {
            throw new IllegalArgumentException("header line has no colon after the name");
        }
    }

    /** Whether a message head is valid HTTP/1 with unambiguous framing. The body is not checked. */
    static boolean isUnambiguous(HttpMessage head) {
        HttpVersion version = head.protocolVersion();
        HttpHeaders headers = head.headers();
        if (head.decoderResult().isFailure()
                || !version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            return false;
        }
        for (Map.Entry<String, String> header : headers) {
            if (header.getKey().isEmpty()
                    || HttpHeaderValidationUtil.validateToken(header.getKey()) >= 0
                    || HttpHeaderValidationUtil.validateValidHeaderValue(header.getValue()) >= 0) {
                return false;
            }
        }
        List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
        if (!encodings.isEmpty()) {
            return encodings.size() == 1
                    && lengths.isEmpty()
                    && version.equals(HttpVersion.HTTP_1_1)
                    && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.get(0));
        }
        return lengths.isEmpty() || lengths.size() == 1 && parseNumber(lengths.get(0)) >= 0;
    }

    /** Whether an unambiguous head declares the length of its body, by Content-Length or Transfer-Encoding. */
    static boolean declaresLength(HttpHeaders headers) {
        return headers.contains(HttpHeaderNames.CONTENT_LENGTH) || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    }

    /** Whether an unambiguous head declares a body of more than {@code maxBytes}. */
    static boolean exceedsLength(HttpHeaders headers, int maxBytes) {
        return parseNumber(headers.get(HttpHeaderNames.CONTENT_LENGTH)) > maxBytes;
    }

    /** The idle timeout of a Keep-Alive header, in seconds; -1 if there is none. */
    static long keepAliveSeconds(HttpHeaders headers) {
        for (String parameter : headers.get("Keep-Alive", "").split(",")) {
            String[] parts = parameter.trim().split("=", 2);
            if (parts.length == 2 && parts[0].trim().equalsIgnoreCase("timeout")) {
                return parseNumber(parts[1].trim());
            }
        }
        return -1;
    }

    /** Parses a number of 1 to 18 decimal digits; -1 for anything else, such as a sign, a fraction, a list or an overflow. */
    public static long parseNumber(String text) {
        if (text == null
                || text.isEmpty()
                || text.length() > 18
                || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return -1;
        }
        return Long.parseLong(text);
    }
}
