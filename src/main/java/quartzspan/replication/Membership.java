package quartzspan.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The roles of all replicas in one epoch.
 *
 * <p>A membership that changes the voters is <em>joint</em> (as in Raft's joint consensus): it also lists the previous voters, and
 * every quorum needs a majority of both sets until the membership is in effect and its primary has {@link #committed} it.
 *
 * @param epoch the election that formed the membership; each forms at most one
 * @param primary the replica that accepts changes
 * @param dataReplicas the replicas that hold the control state, the primary first; all of them sync a change before it is
 *     acknowledged
 * @param voters the replicas that vote in elections: the data replicas and the witnesses
 * @param previousVoters the voters before a joint membership; empty if the membership is not joint
 */
public record Membership(
        Epoch epoch, String primary, List<String> dataReplicas, List<String> voters, List<String> previousVoters) {
    /** Initial value, before any membership is known. */
    public static final Membership NONE = new Membership(Epoch.NONE, "", List.of(), List.of(), List.of());

    private static final String FIELD_SEPARATOR = ";";
    private static final String NAME_SEPARATOR = ",";
    private static final int FIELD_COUNT = 5;

    public Membership {
        dataReplicas = List.copyOf(dataReplicas);
        voters = List.copyOf(voters);
        previousVoters = List.copyOf(previousVoters);
    }

    /** Size of a majority of a set of voters. */
    static int majority(List<String> voters) {
        return voters.size() / 2 + 1;
    }

    /** Whether a change of voters is in progress. */
    public boolean isJoint() {
        return !previousVoters.isEmpty();
    }

    /** Whether the replicas include a majority of the voters and, if the membership is joint, of the previous voters. */
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

    /** The same membership without the previous voters, which are no longer needed once it is in effect. */
    public Membership committed() {
        return isJoint() ? new Membership(epoch, primary, dataReplicas, voters, List.of()) : this;
    }

    /** Whether this membership supersedes the other: it has a higher epoch, or it is the committed form of the other. */
    public boolean supersedes(Membership other) {
        int order = epoch.compareTo(other.epoch);
        return order > 0 || order == 0 && other.isJoint() && !isJoint();
    }

    /** Text form, used on disk and in messages. */
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
     * Parses {@link #text}.
     *
     * @return null if the text is not a valid membership
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
