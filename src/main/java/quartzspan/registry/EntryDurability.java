package quartzspan.registry;

import java.util.List;

/** Tells when registry entries survive the end of this process. */
public interface EntryDurability {
    /** Of a process without a disk: what it has received is all that it can confirm. */
    EntryDurability IN_MEMORY = (now, entries, onDurable) -> onDurable.run();

    /**
     * Runs an action once the entries, which the registry has merged, are on the local disk; never if they can't be written.
     *
     * @param now milliseconds of a steady clock
     */
    void whenDurable(long now, List<RegistryEntry> entries, Runnable onDurable);
}
