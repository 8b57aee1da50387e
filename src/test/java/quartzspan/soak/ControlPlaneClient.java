package quartzspan.soak;

import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.SplittableRandom;
import quartzspan.http.LoopbackPeers.Message;

/**
 * Sends API calls of servers and operators to a random core machine; follows at most two redirects, with a timeout of
 * one second per request.
 */
final class ControlPlaneClient {
    private static final int TIMEOUT_MS = 1_000;
    private static final int MAX_REDIRECTS = 2;

    private final List<String> hosts;
    private final int port;
    private final SplittableRandom random;

    ControlPlaneClient(List<String> hosts, int port, SplittableRandom random) {
        this.hosts = hosts;
        this.port = port;
        this.random = random;
    }

    /**
     * Sends a call to a random core machine. Returns null if there is no response, a 5xx status or one redirect too
     * many.
     */
    Message call(String method, String path, String headers, String body) {
        String host = hosts.get(random.nextInt(hosts.size()));
        for (int redirects = 0; redirects <= MAX_REDIRECTS; redirects++) {
            Message response = callAt(host, method, path, headers, body);
            if (response == null || response.status() != 307) {
                return response == null || response.status() >= 500 ? null : response;
            }
            host = URI.create(response.header("location")).getHost();
        }
        return null;
    }

    private Message callAt(String host, String method, String path, String headers, String body) {
        try (HttpClientConnection connection = new HttpClientConnection(host, port, TIMEOUT_MS)) {
            connection.write(method + ' ' + path + " HTTP/1.1\r\nHost: c\r\nConnection: close\r\n" + headers
                    + "Content-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            return connection.read(TIMEOUT_MS);
        } catch (IOException e) {
            return null;
        }
    }
}
