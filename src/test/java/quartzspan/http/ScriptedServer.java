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

/** A server whose connections are each served by a script, in a thread of their own. */
public final class ScriptedServer implements AutoCloseable {
    private static final int SMALL_RECEIVE_BUFFER_BYTES = 4_096;
    private static final int BACKLOG = 50;

    /** Handles the requests of a connection, from its first byte on. */
    public interface Script {
        void serve(Socket socket, InputStream in) throws IOException;
    }

    public final ServerSocket socket = new ServerSocket();
    public final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final Script script;

    /** Creates a server that does not listen yet. */
    public ScriptedServer(Script script) throws IOException {
        this.script = script;
    }

    /** Starts a server with a small receive buffer: what its script does not read of a long body stays unsent. */
    public static ScriptedServer startWithSmallBuffer(Script script) throws IOException {
        ScriptedServer server = new ScriptedServer(script);
        server.socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
        server.start();
        return server;
    }

    /** Listens at a free port of the loopback address. */
    public void start() throws IOException {
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
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
