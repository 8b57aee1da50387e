package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 client, and what a server needs to read messages. Heads are read as the bytes that came (ISO-8859-1). */
final class Http {
    private Http() {}

    /** A message: its first line, its headers by name in lower case, its body. */
    static final class Message {
        String firstLine = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = {};
        int status;

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    /** A kept connection of a client. */
    static final class Connection implements AutoCloseable {
        private final Socket socket = new Socket();
        private final InputStream in;

        Connection(InetSocketAddress to, int timeoutMs) throws IOException {
            socket.setTcpNoDelay(true);
            socket.connect(to, timeoutMs);
            socket.setSoTimeout(timeoutMs);
            in = new BufferedInputStream(socket.getInputStream());
        }

        /** Sends a request and reads its answer. */
        Message call(String method, String path, String headers, byte[] body) throws IOException {
            String head = method + " " + path + " HTTP/1.1\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.write(head.getBytes(StandardCharsets.ISO_8859_1));
            bytes.write(body);
            socket.getOutputStream().write(bytes.toByteArray());
            socket.getOutputStream().flush();
            Message answer = read(in);
            if (answer == null) {
                throw new EOFException("the connection was closed without an answer");
            }
            answer.status = Integer.parseInt(answer.firstLine.split(" ")[1]);
            return answer;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** One call on a connection of its own. */
    static Message call(InetSocketAddress to, String method, String path, String headers, byte[] body, int timeoutMs)
            throws IOException {
        try (Connection connection = new Connection(to, timeoutMs)) {
            return connection.call(
                    method, path, (headers.contains("Host: ") ? "" : "Host: quartzspan.example\r\n") + headers, body);
        }
    }

    /** Reads a message; null if the connection ends before it begins. */
    static Message read(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Message message = new Message();
        message.firstLine = line;
        for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        if (line == null) {
            throw new EOFException("the connection was closed within a head");
        }
        if ("chunked".equals(message.header("Transfer-Encoding"))) {
            message.body = readChunks(in);
        } else if (message.header("Content-Length") != null) {
            int length = Integer.parseInt(message.header("Content-Length"));
            message.body = in.readNBytes(length);
            if (message.body.length < length) {
                throw new EOFException("the connection was closed within a body");
            }
        }
        return message;
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(in);
            if (size == null) {
                throw new EOFException("the connection was closed within a body");
            }
            int length = Integer.parseInt(size.split(";")[0].trim(), 16);
            byte[] chunk = in.readNBytes(length);
            if (chunk.length < length) {
                throw new EOFException("the connection was closed within a body");
            }
            body.write(chunk);
            if (readLine(in) == null) {
                throw new EOFException("the connection was closed within a body");
            }
            if (length == 0) {
                return body.toByteArray();
            }
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
