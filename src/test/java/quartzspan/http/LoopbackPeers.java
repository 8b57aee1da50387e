package quartzspan.http;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Minimal peers of a proxy (servers, clients and discovery) on plain loopback sockets, scripted by the tests. */
public final class LoopbackPeers {
    /** Timeout of every wait. A passing test never waits that long. */
    public static final long TIMEOUT_S = 30;

    /** The line breaks that end a head. */
    private static final int END_OF_HEAD = 0x0d0a0d0a;

    private LoopbackPeers() {}

    /** Takes the next element of a queue; fails if none arrives within {@link #TIMEOUT_S}. */
    public static <T> T next(BlockingQueue<T> queue, String what) throws InterruptedException {
        T element = queue.poll(TIMEOUT_S, TimeUnit.SECONDS);
        if (element == null) {
            throw new AssertionError("not received within " + TIMEOUT_S + " s: " + what);
        }
        return element;
    }

    /** A received message: its first line, its headers as sent, and its body. */
    public record Message(String first, List<String> headers, byte[] body) {
        /** The value of a header, by its name in lower case; null if there is none. */
        public String header(String name) {
            return headers.stream()
                    .filter(h -> h.toLowerCase(Locale.ROOT).startsWith(name + ":"))
                    .map(h -> h.substring(name.length() + 1).strip())
                    .findFirst()
                    .orElse(null);
        }

        public String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }

        public int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }
    }

    /** Reads one message with or without a Content-Length; throws {@link EOFException} at the end of the stream. */
    public static Message read(InputStream in) throws IOException {
        Message head = readHead(in);
        String declaredLength = head.header("content-length");
        int length = declaredLength == null ? 0 : Integer.parseInt(declaredLength);
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("stream ended after " + body.length + " of " + length + " bytes of the body");
        }
        return new Message(head.first(), head.headers(), body);
    }

    /** Reads the head of a message only. */
    public static Message readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int lastFourBytes = 0;
        while (lastFourBytes != END_OF_HEAD) {
            int b = in.read();
            if (b < 0) {
                throw new EOFException("stream ended within the message head, after '" + head + "'");
            }
            head.write(b);
            lastFourBytes = lastFourBytes << Byte.SIZE | b;
        }
        List<String> lines =
                List.of(head.toString(StandardCharsets.ISO_8859_1).strip().split("\r\n"));
        return new Message(lines.get(0), lines.subList(1, lines.size()), new byte[0]);
    }

    /** A listening peer: adds each request to {@link #received}, then passes it to the script. */
    public static final class Server implements AutoCloseable {
        public final BlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
        public final ServerSocket socket;
        public final List<Socket> connections;
        private final ScriptedServer server = new ScriptedServer(this::serve);
        private final Consumer<ReceivedRequest> script;

        /** Starts a server that passes each request to the script. */
        public Server(Consumer<ReceivedRequest> script) throws IOException {
            this.script = script;
            this.socket = server.socket;
            this.connections = server.connections;
            server.start();
        }

        public String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        private void serve(Socket connection, InputStream bytes) {
            CompletableFuture<Void> ended = new CompletableFuture<>();
            try {
                InputStream in = new BufferedInputStream(bytes);
                while (true) {
                    ReceivedRequest request = new ReceivedRequest(read(in), connection, ended);
                    received.add(request);
                    script.accept(request);
                }
            } catch (IOException e) {
                ended.complete(null);
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** A request that a server received; {@code ended} completes when its connection ends. */
    public record ReceivedRequest(Message message, Socket socket, CompletableFuture<Void> ended) {
        /** Writes raw text to the connection. */
        public void write(String text) {
            try {
                socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                // The peer has closed the connection.
            }
        }

        /** Sends a response; each of the additional headers ends with a line break. */
        public void answer(int status, String headers, String body) {
            write("HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
        }

        /** Sends a successful response. */
        public void served(String body) {
            answer(200, "", body);
        }

        /** Rejects the request, and states that it did not run. */
        public void notRun() {
            answer(503, "X-Not-Run: 1\r\n", "");
        }

        /** Shuts down the output of the connection (half-close). */
        public void finish() {
            try {
                socket.shutdownOutput();
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        }

        /** Resets the connection. */
        public void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        }

        public void awaitEnd() throws Exception {
            ended.get(TIMEOUT_S, TimeUnit.SECONDS);
        }
    }

    /** A client with one connection to the proxy. */
    public static final class Client implements AutoCloseable {
        public final Socket socket;
        private final InputStream in;

        public Client(int port) throws IOException {
            this(InetAddress.getLoopbackAddress(), port);
        }

        public Client(InetAddress address, int port) throws IOException {
            socket = new Socket(address, port);
            socket.setSoTimeout((int) TIMEOUT_S * 1000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        public Client write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        /** Sends a request that must not run twice. */
        public Client unsafe(String id, long deadlineMs) throws IOException {
            return write("POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: " + id
                    + "\r\nX-Class: unsafe\r\nX-Deadline-Ms: " + deadlineMs
                    + "\r\nContent-Length: 4\r\n\r\nbody");
        }

        /** Sends a request that may run any number of times. */
        public Client safe(String id, long deadlineMs) throws IOException {
            return write("GET /api HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: " + id
                    + "\r\nX-Class: safe\r\nX-Deadline-Ms: " + deadlineMs + "\r\n\r\n");
        }

        public Message read() throws IOException {
            return LoopbackPeers.read(in);
        }

        /** Reads the head of a response only. */
        public Message readHead() throws IOException {
            return LoopbackPeers.readHead(in);
        }

        /** Waits for the next byte or the close; returns whether the proxy closed the connection without sending more. */
        public boolean closed() throws IOException {
            try {
                return in.read() < 0;
            } catch (SocketException e) {
                return true;
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A server whose accept backlog is full, so that no new connection is established until {@link #acceptAll}. */
    public static final class FullBacklogServer implements AutoCloseable {
        private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        private final List<Socket> backlog = new ArrayList<>();
        private Socket last;

        /** Listens, and fills the backlog. */
        public FullBacklogServer() throws Exception {
            for (int i = 0; i < 8; i++) {
                Socket s = new Socket();
                try {
                    s.connect(new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), 1000);
                } catch (SocketTimeoutException full) {
                    s.close();
                    return;
                }
                backlog.add(s);
            }
            throw new AssertionError("accept backlog not full after 8 connections");
        }

        public String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        /** Accepts the connections of the backlog, and then the one that was waiting. */
        public void acceptAll() throws Exception {
            server.setSoTimeout((int) LoopbackPeers.TIMEOUT_S * 1000);
            for (int i = 0; i <= backlog.size(); i++) {
                last = server.accept();
            }
        }

        /** Whether the connection that was waiting is closed without any data received. */
        public boolean closedWithoutInput() throws Exception {
            last.setSoTimeout((int) LoopbackPeers.TIMEOUT_S * 1000);
            return last.getInputStream().read() < 0;
        }

        @Override
        public void close() throws IOException {
            server.close();
            for (Socket s : backlog) {
                s.close();
            }
        }
    }

    /** A discovery service. */
    public static final class Discovery implements AutoCloseable {
        public final Server server = new Server(request -> {});

        public Discovery() throws IOException {}

        /** Waits for a watch request and starts the response, which stays open for {@link #push}. */
        public ReceivedRequest awaitWatch() throws InterruptedException {
            ReceivedRequest watch = next(server.received, "a watch");
            watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            return watch;
        }

        /** Sends one line as a chunk of the response to a watch. */
        public static void push(ReceivedRequest watch, String line) {
            watch.write(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** An endpoint as discovery lists it. */
    public static String endpoint(String id, String address, String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"east\","
                + "\"kind\":\"m\",\"cell\":1,\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    /** An endpoint list of discovery. */
    public static String list(int version, boolean full, String... endpoints) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", endpoints) + "]}";
    }

    /** A client proxy configuration; {@code limits} are additional limits, each preceded by a comma. */
    public static String config(int port, String discovery, String limits, String known) {
        String one = "{\"name\":\"%s\",\"effect\":\"%s\",\"dedupScope\":\"zone\",\"dedupWindowUs\":20000000,"
                + "\"onTimeUs\":20000000,\"deadlineUs\":20000000,\"worth\":1}";
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"known\":" + known
                + ",\"limits\":{\"cores\":1.0,\"sockets\":160},\"peers\":[],\"settings\":{"
                + "\"azs\":[\"west\",\"east\"],\"kinds\":[\"m\"],\"balancers\":3,"
                + "\"membershipMode\":\"subscribe\","
                + "\"customers\":[{\"name\":\"acme\",\"share\":1}],\"classes\":["
                + String.format(one, "safe", "retryable") + "," + String.format(one, "keyed", "dedup") + ","
                + String.format(one, "unsafe", "fragile") + "],\"limits\":{"
                + "\"maxAttempts\":4,\"mayCancel\":true,\"mayProbe\":true,\"retryAfter\":true,"
                + "\"maxRetryAfterUs\":2000000,\"dialTimeoutUs\":20000000"
                + limits + "},\"contract\":{\"askWithinUs\":10000000}}}";
    }
}
