package quartzspan.registry;

import java.util.Locale;

/**
 * What a server says of itself that others need.
 *
 * @param model the model whose weights it has; empty if it says none
 * @param weights version of those weights; 0 if unknown
 * @param loading version that it was ordered to load and does not have yet; 0 if none
 */
public record Server(
        String id,
        String service,
        String address,
        String zone,
        String model,
        long weights,
        long loading,
        long seq,
        RegistryEntry.State state) {

    /** As the text of a entry; fields have no tab in them, or are refused. */
    public static String text(String service, String address, String zone, String model, long weights, long loading) {
        return service
                + '\t'
                + address
                + '\t'
                + zone
                + '\t'
                + model
                + '\t'
                + weights
                + '\t'
                + (loading > weights ? loading : 0);
    }

    /** The same server with other weights, or on its way to some. */
    public String text(long hasWeights, long loads) {
        return text(service, address, zone, model, hasWeights, loads);
    }

    /** Reads a entry; null if it is none about a server. */
    public static Server of(RegistryEntry f) {
        String[] t = f.text().split("\t", -1);
        if (f.subject() != RegistryEntry.Subject.SERVER || t.length != 6) {
            return null;
        }
        try {
            return new Server(
                    f.key(),
                    t[0],
                    t[1],
                    t[2].toLowerCase(Locale.ROOT),
                    t[3],
                    Long.parseLong(t[4]),
                    Long.parseLong(t[5]),
                    f.seq(),
                    f.state());
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
