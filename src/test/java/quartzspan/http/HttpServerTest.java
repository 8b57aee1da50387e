package quartzspan.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** {@link HttpServer} with a scripted request handler. */
class HttpServerTest {
    /** A pipelined request that times out while it is received must not end the in-flight request before it. */
    @Test
    void receiveTimeoutOfPipelinedRequestDoesNotEndInFlightRequest() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        try {
            HttpServer server = loop.submit(() -> new HttpServer(
                            new RequestHandler() {
                                @Override
                                public long now() {
                                    return System.nanoTime() / 1000;
                                }

                                @Override
                                public void onRequest(
                                        HttpServer.ClientConnection client,
                                        HttpRequest request,
                                        byte[] body,
                                        long receivedAtUs) {
                                    // Long after the 100 ms request timeout of the second request.
                                    loop.schedule(
                                            () -> client.answer(HttpResponseStatus.OK), 900, TimeUnit.MILLISECONDS);
                                }

                                @Override
                                public ConnectionLimits limits() {
                                    return new ConnectionLimits(8, 8_192, 8_192, 30_000, 100);
                                }
                            },
                            loop))
                    .get();
            loop.submit(() -> server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)))
                    .get()
                    .await();
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
                socket.setSoTimeout(10_000);
                socket.getOutputStream()
                        .write(("GET /a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\n"
                                        + "Content-Length: 10\r\n\r\n12345")
                                .getBytes(StandardCharsets.US_ASCII));
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                assertEquals("HTTP/1.1 200 OK", in.readLine());
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** The process runs on for some milliseconds after the close: requests accepted then would be lost. */
    @Test
    void requestsThatArriveAfterCloseAreNotHandled() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        AtomicInteger handledRequests = new AtomicInteger();
        try {
            HttpServer server = loop.submit(() -> new HttpServer(
                            new RequestHandler() {
                                @Override
                                public long now() {
                                    return System.nanoTime() / 1000;
                                }

                                @Override
                                public void onRequest(
                                        HttpServer.ClientConnection client,
                                        HttpRequest request,
                                        byte[] body,
                                        long receivedAtUs) {
                                    handledRequests.incrementAndGet();
                                    client.answer(HttpResponseStatus.OK);
                                }

                                @Override
                                public ConnectionLimits limits() {
                                    return new ConnectionLimits(8, 8_192, 8_192, 30_000, 10_000);
                                }
                            },
                            loop))
                    .get();
            loop.submit(() -> server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)))
                    .get()
                    .await();
            try (LoopbackPeers.Client client = new LoopbackPeers.Client(server.port())) {
                String request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
                assertEquals(200, client.write(request).read().status());
                loop.submit(() -> {
                            // The request arrives before the event loop reads again.
                            client.write(request);
                            server.close();
                            return null;
                        })
                        .get();
                assertTrue(client.closed());
                assertEquals(1, handledRequests.get());
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** Requests that had been received by then are answered, though they wait behind another one. */
    @Test
    void requestsThatWaitAtTheCloseAreAnswered() throws Exception {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = group.next();
        BlockingQueue<HttpServer.ClientConnection> received = new LinkedBlockingQueue<>();
        try {
            HttpServer server = loop.submit(() -> new HttpServer(
                            new RequestHandler() {
                                @Override
                                public long now() {
                                    return System.nanoTime() / 1000;
                                }

                                @Override
                                public void onRequest(
                                        HttpServer.ClientConnection client,
                                        HttpRequest request,
                                        byte[] body,
                                        long receivedAtUs) {
                                    received.add(client);
                                }

                                @Override
                                public ConnectionLimits limits() {
                                    return new ConnectionLimits(8, 8_192, 8_192, 30_000, 10_000);
                                }
                            },
                            loop))
                    .get();
            loop.submit(() -> server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)))
                    .get()
                    .await();
            try (LoopbackPeers.Client client = new LoopbackPeers.Client(server.port())) {
                String request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
                client.write(request + request + "GET /partial");
                HttpServer.ClientConnection first = LoopbackPeers.next(received, "the first request");
                loop.submit(() -> {
                            server.close();
                            first.answer(HttpResponseStatus.OK);
                        })
                        .get();
                assertEquals(200, client.read().status());
                HttpServer.ClientConnection second = LoopbackPeers.next(received, "the second request");
                loop.submit(() -> second.answer(HttpResponseStatus.OK)).get();
                assertEquals(200, client.read().status());
                assertTrue(client.closed(), "a request that is not complete at the close is not waited for");
            }
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
