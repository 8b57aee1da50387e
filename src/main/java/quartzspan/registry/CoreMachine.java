package quartzspan.registry;

/**
 * A core machine's description of itself.
 *
 * @param address internal address
 * @param controlAddress address of the API for servers and operators
 * @param zone its zone; empty if none is configured
 */
public record CoreMachine(String address, String controlAddress, String zone) {
    private static final String SEPARATOR = "\t";

    /** The first entry of an incarnation of this core machine. */
    public RegistryEntry entry() {
        return new RegistryEntry(
                RegistryEntry.Subject.CORE, address, 1, RegistryEntry.State.READY, controlAddress + SEPARATOR + zone);
    }

    /** Decodes the entry of a core machine. */
    public static CoreMachine of(RegistryEntry entry) {
        String[] fields = entry.text().split(SEPARATOR, 2);
        return new CoreMachine(entry.key(), fields[0], fields.length < 2 ? "" : fields[1]);
    }
}
