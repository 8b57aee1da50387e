package quartzspan.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The roles of all replicas from an epoch on.
 *
 * <p>A membership that changes the voters is <em>joint</em> (as in Raft's joint consensus): it names the voters before it too, and
 * every quorum needs a majority of either set until the membership is in effect and its primary has {@link #committed} it.
 *
 * @param epoch the election that formed the membership; each forms one at most
 * @param primary the replica that accepts changes
 * @param dataReplicas the replicas that hold the control state, the primary first; each of them syncs a change before it is
 *     acknowledged
 * @param voters the replicas that grant epochs: the data replicas and the witnesses
 * @param previousVoters the voters before a joint membership; empty otherwise
 */
public record Membership(
        Epoch epoch, String primary, List<String> dataReplicas, List<String> voters, List<String> previousVoters) {
    /** Before anything is known. */
    public static final Membership NONE = new Membership(Epoch.NONE, "", List.of(), List.of(), List.of());

    private static final String FIELD_SEPARATOR = ";";
    private static final String NAME_SEPARATOR = ",";
    private static final int FIELD_COUNT = 5;

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
    public boolean isJoint() {
        return !previousVoters.isEmpty();
    }

    /** Whether the replicas are a majority of the voters and, in a joint membership, of those before them. */
    public boolean isQuorum(Collection<String> replicas) {
        return isMajority(voters, replicas) && (!isJoint() || isMajority(previousVoters, replicas));
    }

    private static boolean isMajority(List<String> voters, Collection<String> replicas) {
        return voters.stream().filter(replicas::contains).count() >= majority(voters);
    }

    /** All replicas whose vote may be needed for a quorum. */
    public Set<String> electorate() {
        Set<String> all = new LinkedHashSet<>(voters);
        all.addAll(previousVoters);
        return all;
    }

    /** The same membership once it is in effect: the voters before it are needed no more. */
    public Membership committed() {
        return isJoint() ? new Membership(epoch, primary, dataReplicas, voters, List.of()) : this;
    }

    /** Whether this membership supersedes the other: it has a higher epoch, or is the other one committed. */
    public boolean supersedes(Membership other) {
        int order = epoch.compareTo(other.epoch);
        return order > 0 || order == 0 && other.isJoint() && !isJoint();
    }

    /** Text form, used on disk and between processes. */
    public String text() {
        return String.join(
                FIELD_SEPARATOR,
                epoch.text(),
                primary,
                String.join(NAME_SEPARATOR, dataReplicas),
                String.join(NAME_SEPARATOR, voters),
                String.join(NAME_SEPARATOR, previousVoters));
    }

    /**
     * Reads {@link #text}.
     *
     * @return null if the text is no membership
     */
    public static Membership parse(String text) {
        String[] fields = text.split(FIELD_SEPARATOR, -1);
        if (fields.length != FIELD_COUNT) {
            return null;
        }
        Epoch epoch = Epoch.parse(fields[0]);
        return epoch == null
                ? null
                : new Membership(epoch, fields[1], parseNames(fields[2]), parseNames(fields[3]), parseNames(fields[4]));
    }

    private static List<String> parseNames(String text) {
        List<String> all = new ArrayList<>(List.of(text.split(NAME_SEPARATOR)));
        all.removeIf(String::isEmpty);
        return all;
    }
}
