package quartzspan.misbehavior;

import java.nio.charset.StandardCharsets;

/** Ways in which an HTTP client can stay within the size limits and yet not behave, each in one phase of a request. */
enum HttpMisbehavior {
    /** Opens a connection and sends nothing. */
    SILENT {
        @Override
        String text(Target target) {
            return "";
        }
    },
    /** Stops within a head of very many short lines. */
    PARTIAL_HEAD {
        @Override
        String text(Target target) {
            return target.get() + shortLines(target.headBytes());
        }
    },
    /** Stops within a head that consists of one header in very many folded lines. */
    FOLDED_HEAD {
        @Override
        String text(Target target) {
            return target.get() + "a:b\r\n" + " c\r\n".repeat(target.headBytes() / 4);
        }
    },
    /** Sends a complete head of very many lines, but not the body that it announces. */
    MISSING_BODY {
        @Override
        String text(Target target) {
            return target.post("Content-Length: 1000\r\n") + shortLines(target.headBytes()) + "\r\n";
        }
    },
    /** Stops before the end of a long body. */
    PARTIAL_BODY {
        @Override
        String text(Target target) {
            return target.post("Content-Length: " + target.bodyBytes() + "\r\n") + "\r\n"
                    + "b".repeat(target.bodyBytes() - 1);
        }
    },
    /** Sends a body in chunks of one byte, without an end. */
    SMALL_CHUNKS {
        @Override
        String text(Target target) {
            return target.post(CHUNKED) + "\r\n" + "1\r\nb\r\n".repeat(target.bodyBytes() / 6);
        }
    },
    /** Stops within very many trailer lines, after a head of few. */
    PARTIAL_TRAILERS {
        @Override
        String text(Target target) {
            return target.post(CHUNKED) + "\r\n1\r\nb\r\n0\r\n" + shortLines(target.headBytes());
        }
    },
    /** Stops within one trailer in very many folded lines, after very many trailers of the same name. */
    FOLDED_TRAILERS {
        @Override
        String text(Target target) {
            return target.post(CHUNKED) + "\r\n0\r\n" + shortLines(target.headBytes() / 2)
                    + " c\r\n".repeat(target.headBytes() / 8);
        }
    },
    /** Sends a complete request of very many lines, and waits for the response. */
    MANY_LINES {
        @Override
        String text(Target target) {
            return target.get() + shortLines(target.headBytes()) + "\r\n";
        }
    },
    /** Sends a complete request whose Connection header names very many headers, beside very many headers. */
    MANY_CONNECTION_OPTIONS {
        @Override
        String text(Target target) {
            return target.get() + "Connection: x" + ",a".repeat(target.headBytes() / 4) + "\r\n"
                    + shortLines(target.headBytes() / 2) + "\r\n";
        }
    },
    /** Sends very many short requests at once, and reads no response. */
    PIPELINED {
        @Override
        String text(Target target) {
            return (target.get() + "\r\n").repeat(PIPELINED_BYTES / target.get().length());
        }
    },
    /** Sends many requests of very many lines at once, and reads no response. */
    PIPELINED_MANY_LINES {
        @Override
        String text(Target target) {
            return MANY_LINES.text(target).repeat(PIPELINED_BYTES / target.headBytes());
        }
    };

    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
    private static final int PIPELINED_BYTES = 160_000;
    private static final String SHORT_LINE = "a:\r\n";

    /**
     * A listener.
     *
     * @param path the path of the requests
     * @param headers the headers that an ordinary request carries, each with its line break
     * @param headBytes the size of a legal head, bytes
     * @param bodyBytes the size of a legal body, bytes
     */
    record Target(String path, String headers, int headBytes, int bodyBytes) {
        String get() {
            return "GET " + path + " HTTP/1.1\r\nHost: h.example\r\n" + headers;
        }

        String post(String more) {
            return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\n" + headers + more;
        }
    }

    /** What one client sends to a listener. */
    abstract String text(Target target);

    /** What one client sends to a listener, as bytes. */
    final byte[] bytes(Target target) {
        return text(target).getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String shortLines(int bytes) {
        return SHORT_LINE.repeat(bytes / SHORT_LINE.length());
    }
}
