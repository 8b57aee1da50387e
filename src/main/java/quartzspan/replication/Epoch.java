package quartzspan.replication;

/**
 * Identifies one election, like a Raft term or a Paxos ballot. Epochs are totally ordered by number, then candidate, then nonce.
 * Each election has an epoch of its own, even if a candidate has lost its disk and reuses a number.
 *
 * @param number greater than the number of every election known to the candidate
 * @param candidate the replica that started the election
 * @param nonce drawn at random for each election
 */
public record Epoch(long number, String candidate, long nonce) implements Comparable<Epoch> {
    /** Lower than any other epoch; initial value, before any epoch is known. */
    public static final Epoch NONE = new Epoch(-1, "", 0);
    /** The epoch of the initial membership, which is created by bootstrap and not by an election. */
    public static final Epoch INITIAL = new Epoch(0, "", 0);

    private static final String SEPARATOR = "/";
    private static final int FIELDS = 3;

    @Override
    public int compareTo(Epoch other) {
        if (number != other.number) {
            return Long.compare(number, other.number);
        }
        int byCandidate = candidate.compareTo(other.candidate);
        return byCandidate != 0 ? byCandidate : Long.compare(nonce, other.nonce);
    }

    // Explicit methods, as compareTo above: generated record methods and composed comparators are linked by the JVM at
    // their first use, which would slow down every start.
    @Override
    public boolean equals(Object other) {
        return other instanceof Epoch epoch && compareTo(epoch) == 0;
    }

    @Override
    public int hashCode() {
        return 31 * (31 * Long.hashCode(number) + candidate.hashCode()) + Long.hashCode(nonce);
    }

    /** Whether this epoch is higher than the other. */
    public boolean isAbove(Epoch other) {
        return compareTo(other) > 0;
    }

    /** Whether this epoch is lower than the other. */
    public boolean isBelow(Epoch other) {
        return compareTo(other) < 0;
    }

    /** The higher of two epochs. */
    public static Epoch max(Epoch one, Epoch other) {
        return one.isAbove(other) ? one : other;
    }

    /** Text form, used on disk and in messages. */
    public String text() {
        return number + SEPARATOR + candidate + SEPARATOR + nonce;
    }

    /**
     * Parses {@link #text}.
     *
     * @return null if the text is not a valid epoch
     */
    public static Epoch parse(String text) {
        String[] fields = text.split(SEPARATOR, -1);
        if (fields.length != FIELDS) {
            return null;
        }
        try {
            return new Epoch(Long.parseLong(fields[0]), fields[1], Long.parseLong(fields[2]));
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
