package quartzspan.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Who does what from an epoch on.
 *
 * <p>A view that changes the voters is <em>joint</em>: it names the voters before it too, and every quorum needs a majority of
 * either set until the view is in force and its primary has settled it ({@link #settled}).
 *
 * @param epoch the candidacy that formed the view; each forms one at most
 * @param primary the replica that accepts changes
 * @param copies the replicas that hold the control state, the primary first; each of them syncs a change before it is
 *     answered
 * @param voters the replicas that grant epochs: the copies and the witnesses
 * @param previousVoters the voters before a joint view; empty otherwise
 */
public record Membership(
        Epoch epoch, String primary, List<String> dataReplicas, List<String> voters, List<String> previousVoters) {
    /** Before anything is known. */
    public static final Membership NONE = new Membership(Epoch.NONE, "", List.of(), List.of(), List.of());

    private static final int FIELDS = 5;

    /** Copies the lists. */
    public Membership {
        dataReplicas = List.copyOf(dataReplicas);
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
    public Membership settled() {
        return joint() ? new Membership(epoch, primary, dataReplicas, voters, List.of()) : this;
    }

    /** Whether this view supersedes the other: a higher epoch, or the same view settled. */
    public boolean supersedes(Membership other) {
        int order = epoch.compareTo(other.epoch);
        return order > 0 || order == 0 && other.joint() && !joint();
    }

    /** Text form, used on disk and between processes. */
    public String text() {
        return String.join(
                ";",
                epoch.text(),
                primary,
                String.join(",", dataReplicas),
                String.join(",", voters),
                String.join(",", previousVoters));
    }

    /**
     * Reads {@link #text}.
     *
     * @return null if the text is no view
     */
    public static Membership parse(String text) {
        String[] fields = text.split(";", -1);
        if (fields.length != FIELDS) {
            return null;
        }
        Epoch epoch = Epoch.parse(fields[0]);
        return epoch == null
                ? null
                : new Membership(epoch, fields[1], names(fields[2]), names(fields[3]), names(fields[4]));
    }

    private static List<String> names(String text) {
        List<String> all = new ArrayList<>(List.of(text.split(",")));
        all.removeIf(String::isEmpty);
        return all;
    }
}
