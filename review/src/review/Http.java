package review;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Minimal HTTP/1.1 over blocking sockets, for the stand-ins of clients, servers and the operator. */
final class Http {
    private Http() {}

    /** The head of a message: its first line, and its headers with names in lower case. */
    record Head(String line, Map<String, String> headers) {
        String header(String name) {
            return headers.get(name);
        }

        /** The status code of a response. */
        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }

        boolean closes() {
            return "close".equalsIgnoreCase(headers.getOrDefault("connection", ""));
        }
    }

    /** A complete response; {@code complete} is false if the connection ended before the end of the body. */
    record Response(Head head, byte[] body, boolean complete) {
        int status() {
            return head.status();
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static InetSocketAddress address(String hostAndPort) {
        int colon = hostAndPort.lastIndexOf(':');
        return new InetSocketAddress(
                hostAndPort.substring(0, colon), Integer.parseInt(hostAndPort.substring(colon + 1)));
    }

    /** Opens a connection. */
    static Socket connect(String hostAndPort, int connectMs, int readMs) throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(readMs);
        try {
            socket.connect(address(hostAndPort), connectMs);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
        return socket;
    }

    /** Reads a message head; null if the connection ends before it begins. */
    static Head readHead(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String next; !(next = requireLine(in)).isEmpty(); ) {
            int colon = next.indexOf(':');
            headers.put(next.substring(0, colon).toLowerCase(Locale.ROOT), next.substring(colon + 1).trim());
        }
        return new Head(line, headers);
    }

    private static String requireLine(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new EOFException("the connection ended within a head");
        }
        return line;
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c; (c = in.read()) != '\n'; ) {
            if (c < 0) {
                if (line.length() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a line");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    /** Reads the body of a request, which has a length or none. */
    static byte[] readRequestBody(InputStream in, Head head) throws IOException {
        int length = Integer.parseInt(head.headers().getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the connection ended within a body");
        }
        return body;
    }

    /** Reads one response, with a length or in chunks. */
    static Response readResponse(InputStream in) throws IOException {
        Head head = readHead(in);
        if (head == null) {
            return null;
        }
        if ("chunked".equalsIgnoreCase(head.headers().getOrDefault("transfer-encoding", ""))) {
            java.io.ByteArrayOutputStream body = new java.io.ByteArrayOutputStream();
            try {
                while (true) {
                    int size = Integer.parseInt(requireLine(in).trim(), 16);
                    byte[] chunk = in.readNBytes(size);
                    body.write(chunk);
                    if (chunk.length < size) {
                        return new Response(head, body.toByteArray(), false);
                    }
                    requireLine(in);
                    if (size == 0) {
                        return new Response(head, body.toByteArray(), true);
                    }
                }
            } catch (IOException e) {
                return new Response(head, body.toByteArray(), false);
            }
        }
        int length = Integer.parseInt(head.headers().getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        return new Response(head, body, body.length == length);
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** One call on a connection of its own. */
    static Response call(String hostAndPort, String requestLine, String headers, byte[] body, int readMs)
            throws IOException {
        try (Socket socket = connect(hostAndPort, 1_000, readMs)) {
            OutputStream out = socket.getOutputStream();
            byte[] head = (requestLine + " HTTP/1.1\r\n" + (headers.startsWith("Host: ") ? "" : "Host: " + hostAndPort + "\r\n")
                            + headers + "Content-Length: "
                            + body.length + "\r\nConnection: close\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
            out.write(head);
            out.write(body);
            out.flush();
            Response response = readResponse(new BufferedInputStream(socket.getInputStream()));
            if (response == null) {
                throw new EOFException("no response");
            }
            return response;
        }
    }
}
