package quartzspan.store;

/**
 * The file operations that a {@link SlotStore} needs. Written bytes are durable once their file is synced, and a new file once
 * the directory is synced as well. Each call may block, and throws {@link quartzspan.common.FleetException} on an I/O error.
 */
public interface Disk {
    /** Reads a complete file; null if it doesn't exist. */
    byte[] read(String name);

    /** Writes at a position; creates the file if it doesn't exist. */
    void write(String name, long position, byte[] bytes);

    void truncate(String name, long length);

    void sync(String name);

    void syncDirectory();
}
