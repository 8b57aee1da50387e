package quartzspan.registry;

/**
 * Something that all processes are to know. Of two about one key the one with the higher {@code seq} holds, and of equal ones
 * the one with the later state.
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

    /** {@code LOST} may come back with a higher {@code seq}; {@code GONE} never does. */
    public enum State {
        READY,
        DRAINING,
        LOST,
        GONE
    }

    boolean beats(RegistryEntry other) {
        return other == null
                || other.state != State.GONE
                        && (state == State.GONE
                                || seq > other.seq
                                || seq == other.seq && state.compareTo(other.state) > 0);
    }

    long digest() {
        long h = 1125899906842597L;
        for (int i = 0; i < key.length(); i++) {
            h = 31 * h + key.charAt(i);
        }
        h = h * 31 + seq;
        h = h * 31 + state.ordinal();
        h ^= h >>> 29;
        return h * 0xbf58476d1ce4e5b9L;
    }
}
