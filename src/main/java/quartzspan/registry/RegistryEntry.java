package quartzspan.registry;

/**
 * Something that all processes are to know. Of two about one key the one with the more final state supersedes the other, then the one
 * with the higher {@code seq}.
 *
 * @param text what is known of it; see {@link Server} for servers
 */
public record RegistryEntry(Subject subject, String key, long seq, State state, String text) {
    /** Kinds of things; their keys are instance ids of servers, and internal addresses of the system's own processes. */
    public enum Subject {
        SERVER,
        CORE,
        PROXY
    }

    /**
     * {@code LOST} may come back with a higher {@code seq}; {@code DRAINING} ends only by {@code GONE}, and {@code GONE} never:
     * a server's own announcement of its end supersedes any later entry of processes that may not have received it.
     */
    public enum State {
        READY(0),
        DRAINING(1),
        LOST(0),
        GONE(2);

        private final int precedence;

        State(int precedence) {
            this.precedence = precedence;
        }
    }

    /** Whether this entry replaces the other: a total order, so that all processes end with the same. */
    boolean supersedes(RegistryEntry other) {
        if (other == null) {
            return true;
        }
        int order = Integer.compare(state.precedence, other.state.precedence);
        order = order != 0 ? order : Long.compare(seq, other.seq);
        order = order != 0 ? order : state.compareTo(other.state);
        order = order != 0 ? order : text.compareTo(other.text);
        return order > 0;
    }

    long digest() {
        long hash = 1125899906842597L;
        for (int i = 0; i < key.length(); i++) {
            hash = 31 * hash + key.charAt(i);
        }
        hash = hash * 31 + seq;
        hash = hash * 31 + state.ordinal();
        hash = hash * 31 + text.hashCode();
        hash ^= hash >>> 29;
        return hash * 0xbf58476d1ce4e5b9L;
    }
}
