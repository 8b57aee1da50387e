package quartzspan.registry;

import java.util.Locale;

/**
 * The attributes of a server in its registry entry.
 *
 * @param model the model whose weights are loaded; empty if the server reports none
 * @param weightsVersion version of the loaded weights; 0 if unknown
 * @param loadingVersion version that the server was ordered to load and does not have yet; 0 if none
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

    /** Encodes attributes as the text of an entry. They must not contain tabs; such input is rejected before. */
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

    /** Encodes this server with other versions of its weights. */
    public String encodeWith(long newWeightsVersion, long newLoadingVersion) {
        return encode(service, address, zone, model, newWeightsVersion, newLoadingVersion);
    }

    /** Decodes an entry; null if it is not a valid entry of a server. */
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
