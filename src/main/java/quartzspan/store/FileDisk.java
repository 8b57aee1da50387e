package quartzspan.store;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.Map;
import quartzspan.common.FleetException;

/** A folder of files. One thread at a time. */
public final class FileDisk implements Disk {
    private final Path folder;
    private final Map<String, FileChannel> open = new HashMap<>();

    public FileDisk(Path folder) {
        this.folder = folder;
        attempt(() -> Files.createDirectories(folder));
    }

    @Override
    public byte[] read(String name) {
        Path file = folder.resolve(name);
        return attempt(() -> Files.exists(file) ? Files.readAllBytes(file) : null);
    }

    @Override
    public void write(String name, long at, byte[] bytes) {
        attempt(() -> {
            ByteBuffer left = ByteBuffer.wrap(bytes);
            long place = at;
            while (left.hasRemaining()) {
                place += file(name).write(left, place);
            }
            return null;
        });
    }

    @Override
    public void truncate(String name, long length) {
        attempt(() -> file(name).truncate(length));
    }

    @Override
    public void sync(String name) {
        attempt(() -> {
            file(name).force(true);
            return null;
        });
    }

    @Override
    public void syncFolder() {
        attempt(() -> {
            try (FileChannel itself = FileChannel.open(folder, StandardOpenOption.READ)) {
                itself.force(true);
            }
            return null;
        });
    }

    private FileChannel file(String name) throws IOException {
        FileChannel channel = open.get(name);
        if (channel == null) {
            channel = FileChannel.open(folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            open.put(name, channel);
        }
        return channel;
    }

    private interface Work<T> {
        T run() throws IOException;
    }

    private <T> T attempt(Work<T> work) {
        try {
            return work.run();
        } catch (IOException e) {
            throw new FleetException(
                    FleetException.Code.STORE_REFUSES,
                    folder + ": " + e.getMessage(),
                    "free space or repair the disk; this machine accepts no changes until then");
        }
    }
}
