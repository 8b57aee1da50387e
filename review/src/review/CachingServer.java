package review;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A sound model server that keeps the parts of prompts, under the {@code Cache-Salt} of the request that made them, and finds them
 * under the same text only. It tells of them by events and lists, and takes parts from the server that {@code Kv-Fetch} names.
 */
final class CachingServer extends ModelServer {
    /** A kept part: the request that made it, and the tenant of that request. */
    record Part(String salt, String id, int tokens, String request, String tenant) {}

    /** Told of each use of a kept part. */
    interface Listener {
        void used(String request, String tenant, Part part, String server);
    }

    private static final Map<String, CachingServer> BY_ADDRESS = new ConcurrentHashMap<>();

    private final Map<String, Part> kept = new LinkedHashMap<>();
    private final List<Part> events = new ArrayList<>();
    private final Listener listener;

    CachingServer(Fleet fleet, Record record, String id, String service, int index, Listener listener)
            throws IOException {
        super(fleet, record, id, service, index, 64, 192, 360);
        this.listener = listener;
        BY_ADDRESS.put(address, this);
    }

    private synchronized Part find(String salt, String part) {
        return kept.get(salt + '|' + part);
    }

    private synchronized void keep(Part part) {
        if (kept.putIfAbsent(part.salt() + '|' + part.id(), part) == null) {
            events.add(part);
            notifyAll();
        }
    }

    @Override
    void run(Http.Head head, byte[] body, OutputStream out) throws IOException {
        String request = head.header("x-attempt-id");
        String tenant = head.headers().getOrDefault("x-tenant", "");
        String salt = head.headers().getOrDefault("cache-salt", "");
        String source = head.header("kv-fetch");
        CachingServer other = source == null ? null : BY_ADDRESS.get(source);
        boolean allKept = true;
        for (String item : head.headers().getOrDefault("x-prompt-prefix", "").split(",")) {
            String[] fields = item.split(":");
            Part part = allKept ? find(salt, fields[0]) : null;
            if (allKept && part == null && other != null) {
                part = other.find(salt, fields[0]);
            }
            allKept &= part != null;
            if (part != null) {
                listener.used(request, tenant, part, id);
                keep(part);
            } else {
                keep(new Part(salt, fields[0], Integer.parseInt(fields[1]), request, tenant));
            }
        }
        sleep(40);
        answer(head, out, "id: 1\ndata: done\n\n");
    }

    @Override
    synchronized String events(int since, int waitMs) {
        if (events.size() <= since) {
            try {
                wait(Math.max(1, waitMs));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        StringBuilder json = new StringBuilder();
        for (int i = since; i < events.size(); i++) {
            Part part = events.get(i);
            json.append(json.length() == 0 ? "" : ",").append('[').append(i + 1).append(",\"+\",");
            appendPart(json, part).append(']');
        }
        return "{\"epoch\":1,\"next_token\":" + events.size() + ",\"lost\":false,\"events\":[" + json + "]}";
    }

    @Override
    synchronized String list() {
        StringBuilder json = new StringBuilder();
        for (Part part : kept.values()) {
            appendPart(json.append(json.length() == 0 ? "[" : ",["), part).append(']');
        }
        return "{\"epoch\":1,\"next_token\":" + events.size() + ",\"held\":[" + json + "]}";
    }

    private static StringBuilder appendPart(StringBuilder json, Part part) {
        return json.append('"').append(part.salt()).append("\",\"").append(part.id()).append("\",").append(part.tokens())
                .append(",\"").append(MODEL).append('"');
    }
}
