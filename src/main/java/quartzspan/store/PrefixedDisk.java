package quartzspan.store;

/** A part of the files of another disk: those whose names begin with a prefix. Several stores can share one directory with it. */
public final class PrefixedDisk implements Disk {
    private final Disk disk;
    private final String prefix;

    /** @param prefix the start of the names on the other disk */
    public PrefixedDisk(Disk disk, String prefix) {
        this.disk = disk;
        this.prefix = prefix;
    }

    @Override
    public byte[] read(String name) {
        return disk.read(prefix + name);
    }

    @Override
    public void write(String name, long position, byte[] bytes) {
        disk.write(prefix + name, position, bytes);
    }

    @Override
    public void truncate(String name, long length) {
        disk.truncate(prefix + name, length);
    }

    @Override
    public void sync(String name) {
        disk.sync(prefix + name);
    }

    @Override
    public void syncDirectory() {
        disk.syncDirectory();
    }
}
