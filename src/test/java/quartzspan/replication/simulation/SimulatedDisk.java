package quartzspan.replication.simulation;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import quartzspan.common.FleetException;
import quartzspan.store.Disk;

/**
 * A disk with a page cache. A process crash leaves files unchanged; after a power loss each write since the file's last sync is
 * present, absent or torn, and a file created since the directory's last sync may be missing.
 */
final class SimulatedDisk implements Disk {
    /** The process that used the disk stopped during an operation. */
    static final class OperationInterrupted extends RuntimeException {
        private static final long serialVersionUID = 1L;

        OperationInterrupted() {
            super(null, null, false, false);
        }
    }

    /** One file change since the last sync, with the bytes that it replaced; {@code bytes} is null for a truncation. */
    private record UnsyncedChange(int at, int lengthBefore, byte[] before, byte[] bytes) {}

    private static final class File {
        private byte[] data = new byte[64];
        private int length;
        private boolean nameSynced;
        private final List<UnsyncedChange> unsynced = new ArrayList<>();

        private void resize(int newLength) {
            if (newLength > data.length) {
                data = Arrays.copyOf(data, Math.max(newLength, 2 * data.length));
            }
            if (newLength > length) {
                Arrays.fill(data, length, newLength, (byte) 0);
            }
            length = newLength;
        }

        private void write(int at, byte[] bytes) {
            int end = at + bytes.length;
            byte[] before = at < length ? Arrays.copyOfRange(data, at, Math.min(end, length)) : new byte[0];
            unsynced.add(new UnsyncedChange(at, length, before, bytes));
            put(at, bytes);
        }

        private void put(int at, byte[] bytes) {
            resize(Math.max(length, at + bytes.length));
            System.arraycopy(bytes, 0, data, at, bytes.length);
        }

        private void truncate(int newLength) {
            byte[] before = newLength < length ? Arrays.copyOfRange(data, newLength, length) : new byte[0];
            unsynced.add(new UnsyncedChange(newLength, length, before, null));
            resize(newLength);
        }

        private void revertUnsynced() {
            for (int i = unsynced.size() - 1; i >= 0; i--) {
                UnsyncedChange change = unsynced.get(i);
                if (change.before().length > 0) {
                    put(change.at(), change.before());
                }
                resize(change.lengthBefore());
            }
        }

        private void losePower(SplittableRandom random, boolean loseAll) {
            revertUnsynced();
            for (UnsyncedChange change : unsynced) {
                int outcome = loseAll ? 0 : random.nextInt(3);
                if (outcome > 0 && change.bytes() == null) {
                    resize(change.at());
                } else if (outcome == 1) {
                    put(change.at(), change.bytes());
                } else if (outcome == 2) {
                    byte[] torn = Arrays.copyOf(change.bytes(), random.nextInt(change.bytes().length + 1));
                    if (torn.length > 0 && random.nextBoolean()) {
                        torn[random.nextInt(torn.length)] = 0;
                    }
                    put(change.at(), torn);
                }
            }
            unsynced.clear();
        }
    }

    private final Map<String, File> files = new TreeMap<>();
    private int operationsBeforeInterrupt = -1;
    private boolean full;

    void setFull(boolean isFull) {
        full = isFull;
    }

    /** Interrupts the operation that follows the given number of operations; a negative number sets no limit. */
    void interruptAfter(int operations) {
        operationsBeforeInterrupt = operations;
    }

    void wipe() {
        files.clear();
    }

    void losePower(SplittableRandom random) {
        boolean loseAll = random.nextInt(3) == 0;
        files.values().removeIf(file -> !file.nameSynced && random.nextInt(3) == 0);
        files.values().forEach(file -> file.losePower(random, loseAll));
    }

    private void countOperation() {
        if (operationsBeforeInterrupt == 0) {
            throw new OperationInterrupted();
        }
        if (operationsBeforeInterrupt > 0) {
            operationsBeforeInterrupt--;
        }
    }

    @Override
    public byte[] read(String name) {
        File file = files.get(name);
        return file == null ? null : Arrays.copyOf(file.data, file.length);
    }

    private File file(String name) {
        return files.computeIfAbsent(name, n -> new File());
    }

    @Override
    public void write(String name, long at, byte[] bytes) {
        countOperation();
        if (full) {
            file(name).write((int) at, Arrays.copyOf(bytes, bytes.length / 2));
            throw new FleetException(
                    FleetException.Code.STORE_REFUSES, "no space left on the simulated disk", "free disk space");
        }
        file(name).write((int) at, bytes);
    }

    @Override
    public void truncate(String name, long length) {
        countOperation();
        file(name).truncate((int) length);
    }

    @Override
    public void sync(String name) {
        countOperation();
        file(name).unsynced.clear();
    }

    @Override
    public void syncDirectory() {
        countOperation();
        files.values().forEach(file -> file.nameSynced = true);
    }
}
