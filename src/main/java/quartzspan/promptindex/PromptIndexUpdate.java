package quartzspan.promptindex;

/**
 * What one process tells another of the parts that a server keeps.
 *
 * @param stream names one watcher's reports of one server; {@code seq} counts them
 * @param parts names of parts, see {@link PromptIndex#part}
 * @param tokens tokens kept of each now; 0 if it is kept no more
 */
public record PromptIndexUpdate(Kind kind, String server, long stream, long seq, long[] parts, int[] tokens) {
    /** {@code WHOLE} replaces all that was known of the server; {@code ASK} asks for it. */
    public enum Kind {
        NEWS,
        WHOLE,
        ASK
    }

    /** No message holds more parts. */
    public static final int MOST = 60_000;
}
