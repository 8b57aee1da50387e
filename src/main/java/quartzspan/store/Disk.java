package quartzspan.store;

/**
 * The few operations on files that a {@link SlotStore} needs. What is written lasts once its file is synced, and a new file once
 * its folder is too. Each call may block, and throws {@link quartzspan.common.FleetException} where the disk refuses.
 */
public interface Disk {
    /** All bytes of a file; null if there is none. */
    byte[] read(String name);

    /** Writes at a place, and makes the file if there is none. */
    void write(String name, long position, byte[] bytes);

    void truncate(String name, long length);

    void sync(String name);

    void syncDirectory();
}
