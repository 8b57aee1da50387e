package quartzspan.roster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * On a core machine: which servers and proxies live, by what they say. Only changes become facts; that somebody still lives is
 * passed between core machines alone. No clock, no I/O.
 */
public final class Registry {
    /** Heartbeats that may be missed before a server counts as lost. */
    private static final double MISSED = 3.7;
    /** Silence after which a proxy counts as lost. */
    private static final long PROXY_MS = 4_000;

    private record Life(long at, long count) { }

    private final Roster roster;
    private final long heartbeatMs;
    private final Map<String, Life> servers = new HashMap<>();
    private final Map<String, Life> proxies = new HashMap<>();
    /** Heard here since the others were last told. */
    private final Map<String, Fact> untold = new HashMap<>();

    public Registry(Roster roster, long heartbeatMs) {
        this.roster = roster;
        this.heartbeatMs = heartbeatMs;
    }

    /** A server's word; the news it makes, or null. */
    public Fact beat(long now, String id, long count, Fact.State state, Server said) {
        Life life = servers.get(id);
        if (life != null && count < life.count()) {
            return null;
        }
        servers.put(id, new Life(now, count));
        untold.put(id, new Fact(Fact.Subject.SERVER, id, count, state, ""));
        Fact old = roster.fact(Fact.Subject.SERVER, id);
        // What it was ordered to load it doesn't say; that holds until it has it.
        Server before = old == null ? null : Server.of(old);
        String text = said.text(said.weights(), before == null ? 0 : before.loading());
        if (old != null && old.state() == state && old.text().equals(text)) {
            return null;
        }
        // A server that says it leaves does not come back: an old word of it must not make it ready again.
        Fact next = new Fact(Fact.Subject.SERVER, id, Math.max(count, old == null ? 0 : old.seq() + 1),
                old != null && old.state() == Fact.State.DRAINING ? Fact.State.DRAINING : state, text);
        return roster.take(now, next) ? next : null;
    }

    /** A server's last word; the news, or null if it was known. */
    public Fact gone(long now, String id) {
        Fact old = roster.fact(Fact.Subject.SERVER, id);
        Fact next = new Fact(Fact.Subject.SERVER, id, old == null ? 1 : old.seq() + 1, Fact.State.GONE,
                old == null ? Server.text("", "", "", "", 0, 0) : old.text());
        servers.remove(id);
        return roster.take(now, next) ? next : null;
    }

    /** Weights that a server was seen to have; the news, or null. What it loads stays as it is until it has it. */
    public Fact weighs(long now, String id, long weights) {
        return reweighed(now, id, weights, -1);
    }

    /** Weights that a server is ordered to load; the news, or null. */
    public Fact loads(long now, String id, long loading) {
        return reweighed(now, id, -1, loading);
    }

    private Fact reweighed(long now, String id, long weights, long loading) {
        Fact old = roster.fact(Fact.Subject.SERVER, id);
        Server before = old == null ? null : Server.of(old);
        if (before == null || old.state() == Fact.State.GONE) {
            return null;
        }
        String text = before.text(weights < 0 ? before.weights() : weights, loading < 0 ? before.loading() : loading);
        if (old.text().equals(text)) {
            return null;
        }
        Fact next = new Fact(Fact.Subject.SERVER, id, old.seq() + 1, old.state(), text);
        return roster.take(now, next) ? next : null;
    }

    /** A proxy's word; the news, or null. */
    public Fact proxy(long now, String address, String zone) {
        proxies.put(address, new Life(now, 0));
        untold.put("@" + address, new Fact(Fact.Subject.PROXY, address, 0, Fact.State.READY, ""));
        Fact old = roster.fact(Fact.Subject.PROXY, address);
        if (old != null && old.state() == Fact.State.READY) {
            return null;
        }
        Fact next = new Fact(Fact.Subject.PROXY, address, old == null ? 1 : old.seq() + 1, Fact.State.READY, zone);
        return roster.take(now, next) ? next : null;
    }

    /** Who was heard here since the last call, for the other core machines. */
    public List<Fact> untold() {
        List<Fact> all = List.copyOf(untold.values());
        untold.clear();
        return all;
    }

    /** Who was heard at another core machine. */
    public void heard(long now, List<Fact> lives) {
        for (Fact f : lives) {
            Map<String, Life> of = f.subject() == Fact.Subject.SERVER ? servers : proxies;
            Life life = of.get(f.key());
            if (life == null || f.seq() >= life.count()) {
                of.put(f.key(), new Life(now, f.seq()));
            }
        }
    }

    /** Who has been silent for too long; to be asked only while this machine is in touch with the rest of the core. */
    public List<Fact> lost(long now) {
        List<Fact> news = new ArrayList<>();
        for (Fact f : roster.all(Fact.Subject.SERVER)) {
            boolean there = f.state() == Fact.State.READY || f.state() == Fact.State.DRAINING;
            if (there && silent(now, servers, f.key(), (long) (heartbeatMs * MISSED))) {
                news.add(new Fact(f.subject(), f.key(), f.seq() + 1, Fact.State.LOST, f.text()));
            }
        }
        for (Fact f : roster.all(Fact.Subject.PROXY)) {
            if (f.state() == Fact.State.READY && silent(now, proxies, f.key(), PROXY_MS)) {
                news.add(new Fact(f.subject(), f.key(), f.seq() + 1, Fact.State.LOST, f.text()));
            }
        }
        news.removeIf(f -> !roster.take(now, f));
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
