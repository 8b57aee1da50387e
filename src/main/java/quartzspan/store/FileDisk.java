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

/** The files of a directory. Not thread-safe. */
public final class FileDisk implements Disk {
    private final Path directory;
    private final Map<String, FileChannel> channels = new HashMap<>();

    public FileDisk(Path directory) {
        this.directory = directory;
        runIo(() -> Files.createDirectories(directory));
    }

    @Override
    public byte[] read(String name) {
        Path file = directory.resolve(name);
        return runIo(() -> Files.exists(file) ? Files.readAllBytes(file) : null);
    }

    @Override
    public void write(String name, long position, byte[] bytes) {
        runIo(() -> {
            ByteBuffer remaining = ByteBuffer.wrap(bytes);
            long writePosition = position;
            while (remaining.hasRemaining()) {
                writePosition += channel(name).write(remaining, writePosition);
            }
            return null;
        });
    }

    @Override
    public void truncate(String name, long length) {
        runIo(() -> channel(name).truncate(length));
    }

    @Override
    public void sync(String name) {
        runIo(() -> {
            channel(name).force(true);
            return null;
        });
    }

    @Override
    public void syncDirectory() {
        runIo(() -> {
            try (FileChannel directoryChannel = FileChannel.open(directory, StandardOpenOption.READ)) {
                directoryChannel.force(true);
            }
            return null;
        });
    }

    private FileChannel channel(String name) throws IOException {
        FileChannel channel = channels.get(name);
        if (channel == null) {
            channel = FileChannel.open(directory.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            channels.put(name, channel);
        }
        return channel;
    }

    private interface IoOperation<T> {
        T run() throws IOException;
    }

    private <T> T runIo(IoOperation<T> operation) {
        try {
            return operation.run();
        } catch (IOException e) {
            throw new FleetException(
                    FleetException.Code.STORE_REFUSES,
                    directory + ": " + e.getMessage(),
                    "free space or repair the disk; this machine accepts no changes until then");
        }
    }
}
