package quartzspan.registry;

/**
 * A registry entry, replicated to all processes. Of two entries with the same key, the one whose state has the higher precedence
 * supersedes the other; with equal precedence, the one with the higher {@code seq}.
 *
 * @param text attributes in the encoding of the subject; see {@link Server} and {@link CoreMachine}
 */
public record RegistryEntry(Subject subject, String key, long seq, State state, String text) {
    /** What an entry describes. The key is the instance id of a server, or the internal address of a core machine or proxy. */
    public enum Subject {
        SERVER,
        CORE,
        PROXY
    }

    /**
     * A {@code LOST} entry may become {@code READY} again with a higher {@code seq}. {@code DRAINING} is only superseded by
     * {@code GONE}, and {@code GONE} is final: a server's own announcement of its shutdown supersedes any later entry of a
     * process that may not have received the announcement.
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

    /** Whether this entry replaces the other. This is a total order, so that all processes converge to the same entry. */
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
