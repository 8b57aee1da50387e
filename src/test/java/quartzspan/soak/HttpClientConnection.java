package quartzspan.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import quartzspan.http.LoopbackPeers;
import quartzspan.http.LoopbackPeers.Message;

/** A blocking HTTP/1.1 client connection that carries one request at a time and may be reused. */
final class HttpClientConnection implements AutoCloseable {
    private static final int CHUNK_RADIX = 16;

    private final Socket socket = new Socket();
    private InputStream in;

    HttpClientConnection(String host, int port, int timeoutMs) throws IOException {
        try {
            socket.connect(new InetSocketAddress(host, port), timeoutMs);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    void write(String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads a complete response; throws an {@link IOException} if the connection ends before. */
    Message read(int timeoutMs) throws IOException {
        socket.setSoTimeout(timeoutMs);
        Message head = LoopbackPeers.readHead(in);
        if ("chunked".equals(head.header("transfer-encoding"))) {
            return new Message(head.first(), head.headers(), readChunks());
        }
        String contentLength = head.header("content-length");
        int length = contentLength == null ? 0 : Integer.parseInt(contentLength);
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("connection closed before the end of the response body");
        }
        return new Message(head.first(), head.headers(), body);
    }

    private byte[] readChunks() throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int length = Integer.parseInt(readLine(), CHUNK_RADIX);
            byte[] chunk = in.readNBytes(length);
            if (chunk.length < length) {
                throw new EOFException("connection closed inside a chunk");
            }
            body.write(chunk);
            readLine();
            if (length == 0) {
                return body.toByteArray();
            }
        }
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("connection closed inside a chunk size or trailer line");
            }
            line.append((char) next);
        }
        return line.toString().strip();
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // the connection is no longer used
        }
    }
}
