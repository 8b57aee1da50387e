package quartzspan.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * On a core machine: which servers and proxies live, by what they say. Only changes become entries; that somebody still lives is
 * passed between core machines alone. No clock, no I/O.
 */
public final class HeartbeatTracker {
    /** Heartbeats that may be missed before a server counts as lost. */
    private static final double MISSED = 3.7;
    /** Silence after which a proxy counts as lost. */
    private static final long PROXY_MS = 4_000;
    /** A proxy asks more often than this; the other core machines need not hear of each time. */
    private static final long PROXY_TOLD_MS = 500;
    /** Time between words to the other core machines of who was heard. */
    private static final long TELL_MS = 200;
    /** Time between looks for who has been silent. */
    private static final long LOOK_MS = 200;

    private record Life(long at, long count) {}

    private final Registry registry;
    private final long heartbeatMs;
    private final Map<String, Life> servers = new HashMap<>();
    private final Map<String, Life> proxies = new HashMap<>();
    /** Heard here since the others were last told. */
    private final Map<String, RegistryEntry> untold = new HashMap<>();

    private final Map<String, Long> proxyToldAt = new HashMap<>();
    private long tellAt = Long.MIN_VALUE;
    private long lookAt = Long.MIN_VALUE;

    public HeartbeatTracker(Registry registry, long heartbeatMs) {
        this.registry = registry;
        this.heartbeatMs = heartbeatMs;
    }

    /** A server's word; the news it makes, or null. */
    public RegistryEntry beat(long now, String id, long count, RegistryEntry.State state, Server said) {
        Life life = servers.get(id);
        boolean late = life != null && count < life.count();
        if (late && state != RegistryEntry.State.DRAINING) {
            return null;
        }
        servers.put(id, new Life(now, late ? life.count() : count));
        untold.put(id, new RegistryEntry(RegistryEntry.Subject.SERVER, id, count, state, ""));
        RegistryEntry old = registry.entry(RegistryEntry.Subject.SERVER, id);
        // What it was ordered to load it doesn't say; that holds until it has it.
        Server before = old == null ? null : Server.of(old);
        String text = said.text(said.weights(), before == null ? 0 : before.loading());
        if (old != null && old.state() == state && old.text().equals(text)) {
            return null;
        }
        // A server that says it leaves does not come back: an old word of it must not make it ready again.
        RegistryEntry next = new RegistryEntry(
                RegistryEntry.Subject.SERVER,
                id,
                Math.max(count, old == null ? 0 : old.seq() + 1),
                old != null && old.state() == RegistryEntry.State.DRAINING ? RegistryEntry.State.DRAINING : state,
                text);
        return registry.take(now, next) ? next : null;
    }

    /** A server's last word; the news, or null if it was known. */
    public RegistryEntry gone(long now, String id) {
        RegistryEntry old = registry.entry(RegistryEntry.Subject.SERVER, id);
        if (old != null && old.state() == RegistryEntry.State.GONE) {
            return null;
        }
        RegistryEntry next = new RegistryEntry(
                RegistryEntry.Subject.SERVER,
                id,
                old == null ? 1 : old.seq() + 1,
                RegistryEntry.State.GONE,
                old == null ? Server.text("", "", "", "", 0, 0) : old.text());
        servers.remove(id);
        return registry.take(now, next) ? next : null;
    }

    /** Weights that a server was seen to have; the news, or null. What it loads stays as it is until it has it. */
    public RegistryEntry weighs(long now, String id, long weights) {
        return reweighed(now, id, weights, -1);
    }

    /** Weights that a server is ordered to load; the news, or null. */
    public RegistryEntry loads(long now, String id, long loading) {
        return reweighed(now, id, -1, loading);
    }

    private RegistryEntry reweighed(long now, String id, long weights, long loading) {
        RegistryEntry old = registry.entry(RegistryEntry.Subject.SERVER, id);
        Server before = old == null ? null : Server.of(old);
        if (before == null || old.state() == RegistryEntry.State.GONE) {
            return null;
        }
        String text = before.text(weights < 0 ? before.weights() : weights, loading < 0 ? before.loading() : loading);
        if (old.text().equals(text)) {
            return null;
        }
        RegistryEntry next = new RegistryEntry(RegistryEntry.Subject.SERVER, id, old.seq() + 1, old.state(), text);
        return registry.take(now, next) ? next : null;
    }

    /** A proxy's word; the news, or null. */
    public RegistryEntry proxy(long now, String address, String zone) {
        proxies.put(address, new Life(now, 0));
        Long told = proxyToldAt.get(address);
        if (told == null || now - told >= PROXY_TOLD_MS) {
            proxyToldAt.put(address, now);
            untold.put(
                    "@" + address,
                    new RegistryEntry(RegistryEntry.Subject.PROXY, address, 0, RegistryEntry.State.READY, ""));
        }
        RegistryEntry old = registry.entry(RegistryEntry.Subject.PROXY, address);
        if (old != null && old.state() == RegistryEntry.State.READY) {
            return null;
        }
        RegistryEntry next = new RegistryEntry(
                RegistryEntry.Subject.PROXY, address, old == null ? 1 : old.seq() + 1, RegistryEntry.State.READY, zone);
        return registry.take(now, next) ? next : null;
    }

    /** Who was heard here since the others were last told, for the other core machines; nobody before the next time is due. */
    public List<RegistryEntry> untold(long now) {
        if (now < tellAt) {
            return List.of();
        }
        tellAt = now + TELL_MS;
        List<RegistryEntry> all = List.copyOf(untold.values());
        untold.clear();
        return all;
    }

    /** Who was heard at another core machine. */
    public void heard(long now, List<RegistryEntry> lives) {
        for (RegistryEntry f : lives) {
            Map<String, Life> of = f.subject() == RegistryEntry.Subject.SERVER ? servers : proxies;
            Life life = of.get(f.key());
            if (life == null || f.seq() >= life.count()) {
                of.put(f.key(), new Life(now, f.seq()));
            }
        }
    }

    /** Who has been silent for too long; to be asked only while this machine is in touch with the rest of the core. */
    public List<RegistryEntry> lost(long now) {
        if (now < lookAt) {
            return List.of();
        }
        lookAt = now + LOOK_MS;
        List<RegistryEntry> news = new ArrayList<>();
        for (RegistryEntry f : registry.all(RegistryEntry.Subject.SERVER)) {
            boolean there = f.state() == RegistryEntry.State.READY || f.state() == RegistryEntry.State.DRAINING;
            if (there && silent(now, servers, f.key(), (long) (heartbeatMs * MISSED))) {
                // One that was leaving has left: nothing may bring it back as ready.
                RegistryEntry.State end =
                        f.state() == RegistryEntry.State.DRAINING ? RegistryEntry.State.GONE : RegistryEntry.State.LOST;
                news.add(new RegistryEntry(f.subject(), f.key(), f.seq() + 1, end, f.text()));
            }
        }
        for (RegistryEntry f : registry.all(RegistryEntry.Subject.PROXY)) {
            if (f.state() == RegistryEntry.State.READY && silent(now, proxies, f.key(), PROXY_MS)) {
                news.add(new RegistryEntry(f.subject(), f.key(), f.seq() + 1, RegistryEntry.State.LOST, f.text()));
            }
        }
        news.removeIf(f -> !registry.take(now, f));
        news.forEach(f -> proxyToldAt.remove(f.key()));
        return news;
    }

    /** One that is first heard of by others' word has all its time from then on. */
    private static boolean silent(long now, Map<String, Life> of, String key, long ms) {
        Life life = of.computeIfAbsent(key, k -> new Life(now, 0));
        return now - life.at() > ms;
    }

    /** Everybody has all their time anew: nothing was heard while this machine was out of touch. */
    public void excuse(long now) {
        servers.replaceAll((k, l) -> new Life(now, l.count()));
        proxies.replaceAll((k, l) -> new Life(now, l.count()));
    }
}
