package quartzspan.roster;

import java.util.Locale;

/**
 * What a server says of itself that others need.
 *
 * @param model the model whose weights it has; empty if it says none
 * @param weights version of those weights; 0 if unknown
 */
public record Server(String id, String service, String address, String zone, String model, long weights, long seq,
        Fact.State state) {

    /** As the text of a fact; fields have no tab in them, or are refused. */
    public static String text(String service, String address, String zone, String model, long weights) {
        return service + '\t' + address + '\t' + zone + '\t' + model + '\t' + weights;
    }

    /** Reads a fact; null if it is none about a server. */
    public static Server of(Fact f) {
        String[] t = f.text().split("\t", -1);
        if (f.subject() != Fact.Subject.SERVER || t.length != 5) {
            return null;
        }
        try {
            return new Server(f.key(), t[0], t[1], t[2].toLowerCase(Locale.ROOT), t[3], Long.parseLong(t[4]), f.seq(), f.state());
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
