package quartzspan.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Who does what from a ballot on.
 *
 * <p>A view that changes the voters is <em>joint</em>: it names the voters before it too, and every quorum needs a majority of
 * either set until the view is in force and its primary has settled it ({@link #settled}).
 *
 * @param ballot the candidacy that formed the view; each forms one at most
 * @param primary the replica that accepts changes
 * @param copies the replicas that hold the control state, the primary first; each of them syncs a change before it is
 *     answered
 * @param voters the replicas that grant ballots: the copies and the witnesses
 * @param previousVoters the voters before a joint view; empty otherwise
 */
public record View(
        Ballot ballot, String primary, List<String> copies, List<String> voters, List<String> previousVoters) {
    /** Before anything is known. */
    public static final View NONE = new View(Ballot.NONE, "", List.of(), List.of(), List.of());

    private static final int FIELDS = 5;

    /** Copies the lists. */
    public View {
        copies = List.copyOf(copies);
        voters = List.copyOf(voters);
        previousVoters = List.copyOf(previousVoters);
    }

    /** Number of replicas that make a majority of a set of voters. */
    static int majority(List<String> voters) {
        return voters.size() / 2 + 1;
    }

    /** Whether a change of voters is under way. */
    public boolean joint() {
        return !previousVoters.isEmpty();
    }

    /** Whether the replicas are a majority of the voters and, in a joint view, of those before them. */
    public boolean isQuorum(Collection<String> replicas) {
        return isMajority(voters, replicas) && (!joint() || isMajority(previousVoters, replicas));
    }

    private static boolean isMajority(List<String> voters, Collection<String> replicas) {
        return voters.stream().filter(replicas::contains).count() >= majority(voters);
    }

    /** Everybody whose word may be needed for a quorum. */
    public Set<String> electorate() {
        Set<String> all = new LinkedHashSet<>(voters);
        all.addAll(previousVoters);
        return all;
    }

    /** The same view once it is in force: the voters before it are needed no more. */
    public View settled() {
        return joint() ? new View(ballot, primary, copies, voters, List.of()) : this;
    }

    /** Whether this view supersedes the other: a higher ballot, or the same view settled. */
    public boolean supersedes(View other) {
        int order = ballot.compareTo(other.ballot);
        return order > 0 || order == 0 && other.joint() && !joint();
    }

    /** Text form, used on disk and between processes. */
    public String text() {
        return String.join(
                ";",
                ballot.text(),
                primary,
                String.join(",", copies),
                String.join(",", voters),
                String.join(",", previousVoters));
    }

    /**
     * Reads {@link #text}.
     *
     * @return null if the text is no view
     */
    public static View parse(String text) {
        String[] fields = text.split(";", -1);
        if (fields.length != FIELDS) {
            return null;
        }
        Ballot ballot = Ballot.parse(fields[0]);
        return ballot == null
                ? null
                : new View(ballot, fields[1], names(fields[2]), names(fields[3]), names(fields[4]));
    }

    private static List<String> names(String text) {
        List<String> all = new ArrayList<>(List.of(text.split(",")));
        all.removeIf(String::isEmpty);
        return all;
    }
}
