package quartzspan.registry;

import java.util.Locale;

/**
 * What a server says of itself that others need.
 *
 * @param model the model whose weights it has; empty if it says none
 * @param weightsVersion version of those weights; 0 if unknown
 * @param loadingVersion version that it was ordered to load and does not have yet; 0 if none
 */
public record Server(
        String id,
        String service,
        String address,
        String zone,
        String model,
        long weightsVersion,
        long loadingVersion,
        long seq,
        RegistryEntry.State state) {

    /** As the text of a entry; fields have no tab in them, or are refused. */
    public static String encode(
            String service, String address, String zone, String model, long weightsVersion, long loadingVersion) {
        return service
                + '\t'
                + address
                + '\t'
                + zone
                + '\t'
                + model
                + '\t'
                + weightsVersion
                + '\t'
                + (loadingVersion > weightsVersion ? loadingVersion : 0);
    }

    /** The same server with other weights, or on its way to some. */
    public String encodeWith(long newWeightsVersion, long newLoadingVersion) {
        return encode(service, address, zone, model, newWeightsVersion, newLoadingVersion);
    }

    /** Reads a entry; null if it is none about a server. */
    public static Server of(RegistryEntry entry) {
        String[] fields = entry.text().split("\t", -1);
        if (entry.subject() != RegistryEntry.Subject.SERVER || fields.length != 6) {
            return null;
        }
        try {
            return new Server(
                    entry.key(),
                    fields[0],
                    fields[1],
                    fields[2].toLowerCase(Locale.ROOT),
                    fields[3],
                    Long.parseLong(fields[4]),
                    Long.parseLong(fields[5]),
                    entry.seq(),
                    entry.state());
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
