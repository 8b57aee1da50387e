package quartzspan.http;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import quartzspan.http.LoopbackPeers.Client;

/** An {@link HttpServer} that listens on loopback, with an event loop of its own, and the clients that a test connects to it. */
final class RunningHttpServer implements AutoCloseable {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<Client> clients = new ArrayList<>();
    private final HttpServer server;

    /** Starts a server; its handler may use the event loop. */
    RunningHttpServer(Function<EventLoop, RequestHandler> handler) throws Exception {
        server = loop.submit(() -> new HttpServer(handler.apply(loop), loop)).get();
        loop.submit(() -> server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)))
                .get()
                .await();
    }

    HttpServer server() {
        return server;
    }

    /** Runs a task on the event loop, and returns its result. */
    <T> T call(Callable<T> task) throws Exception {
        return loop.submit(task).get();
    }

    /** Runs a task on the event loop. */
    void run(Runnable task) throws Exception {
        loop.submit(task).get();
    }

    /** Connects a client. */
    Client client() throws IOException {
        Client client = new Client(server.port());
        clients.add(client);
        return client;
    }

    /** The clients that were connected, in order. */
    List<Client> clients() {
        return clients;
    }

    /** Closes the connections of all clients. */
    void closeClients() throws IOException {
        for (Client client : clients) {
            client.close();
        }
    }

    @Override
    public void close() throws IOException {
        closeClients();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
