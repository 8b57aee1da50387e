package quartzspan.registry;

/**
 * A core machine as it describes itself.
 *
 * @param address internal address
 * @param controlAddress where it takes servers' and operators' calls
 * @param zone its zone; empty if it says none
 */
public record CoreMachine(String address, String controlAddress, String zone) {
    private static final String SEPARATOR = "\t";

    /** The first entry of a core machine's incarnation. */
    public RegistryEntry entry() {
        return new RegistryEntry(
                RegistryEntry.Subject.CORE, address, 1, RegistryEntry.State.READY, controlAddress + SEPARATOR + zone);
    }

    /** Reads the entry of a core machine. */
    public static CoreMachine of(RegistryEntry entry) {
        String[] fields = entry.text().split(SEPARATOR, 2);
        return new CoreMachine(entry.key(), fields[0], fields.length < 2 ? "" : fields[1]);
    }
}
