package quartzspan.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A server with a small receive buffer that reads as little of each request as its script says, so that the rest of a long body
 * stays unsent. One thread serves each connection.
 */
public final class ScriptedServer implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 4_096;

    /** Handles the requests of a connection, from its first byte on. */
    public interface Script {
        void serve(Socket socket, InputStream in) throws IOException;
    }

    public final ServerSocket socket = new ServerSocket();
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final Script script;

    public ScriptedServer(Script script) throws IOException {
        this.script = script;
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        start(this::accept);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = socket.accept();
                connections.add(connection);
                start(() -> serve(connection));
            }
        } catch (IOException e) {
            // The test has closed the socket.
        }
    }

    private void serve(Socket connection) {
        try {
            script.serve(connection, connection.getInputStream());
        } catch (IOException e) {
            // The peer has closed the connection.
        }
    }

    /** How many connections it has accepted. */
    public int connectionCount() {
        return connections.size();
    }

    public static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Closes a connection with a reset, whatever has been read of it. */
    public static void reset(Socket connection) throws IOException {
        connection.setSoLinger(true, 0);
        connection.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
