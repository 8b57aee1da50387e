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

/** A client's connection that is used for one request after another; blocking. */
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

    /** The complete answer; any end of the connection before it is an {@link IOException}. */
    Message read(int timeoutMs) throws IOException {
        socket.setSoTimeout(timeoutMs);
        Message head = LoopbackPeers.readHead(in);
        if ("chunked".equals(head.header("transfer-encoding"))) {
            return new Message(head.first(), head.headers(), readChunks());
        }
        String stated = head.header("content-length");
        int length = stated == null ? 0 : Integer.parseInt(stated);
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("ended in the body");
        }
        return new Message(head.first(), head.headers(), body);
    }

    private byte[] readChunks() throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int length = Integer.parseInt(readLine(), CHUNK_RADIX);
            byte[] chunk = in.readNBytes(length);
            if (chunk.length < length) {
                throw new EOFException("ended in a chunk");
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
                throw new EOFException("ended in a line");
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
            // nothing is left to be done with it
        }
    }
}
