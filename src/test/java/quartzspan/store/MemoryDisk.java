package quartzspan.store;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import quartzspan.common.FleetException;

/** A disk in memory that simulates power loss, a full disk, and torn writes of bytes that were not synced. */
public final class MemoryDisk implements Disk {
    private final Map<String, byte[]> current = new HashMap<>();
    private final Map<String, byte[]> synced = new HashMap<>();
    /** Number of operations before the power loss; negative for none. */
    int powerLossAfterOperations = -1;

    private boolean full;
    int operations;

    /** Makes all writes fail, or succeed again. */
    public void setFull(boolean value) {
        full = value;
    }

    /** Thrown by operations after the power loss. */
    static final class PowerLoss extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    private void countOperation() {
        operations++;
        if (powerLossAfterOperations >= 0 && operations > powerLossAfterOperations) {
            throw new PowerLoss();
        }
    }

    @Override
    public byte[] read(String name) {
        byte[] file = current.get(name);
        return file == null ? null : file.clone();
    }

    @Override
    public void write(String name, long position, byte[] bytes) {
        byte[] old = current.getOrDefault(name, new byte[0]);
        if (full) {
            byte[] written = Arrays.copyOf(bytes, bytes.length / 2);
            put(name, position, written, old);
            throw new FleetException(FleetException.Code.STORE_REFUSES, "the disk is full", "free space");
        }
        put(name, position, bytes, old);
        countOperation();
    }

    private void put(String name, long position, byte[] bytes, byte[] old) {
        byte[] file = Arrays.copyOf(old, (int) Math.max(old.length, position + bytes.length));
        System.arraycopy(bytes, 0, file, (int) position, bytes.length);
        current.put(name, file);
    }

    @Override
    public void truncate(String name, long length) {
        current.put(name, Arrays.copyOf(current.getOrDefault(name, new byte[0]), (int)
                Math.min(length, current.getOrDefault(name, new byte[0]).length)));
        countOperation();
    }

    @Override
    public void sync(String name) {
        countOperation();
        synced.put(name, current.get(name).clone());
    }

    @Override
    public void syncDirectory() {
        countOperation();
    }

    /** The disk after the power loss: of the unsynced bytes of each file, all, none, or a torn part survives. */
    MemoryDisk afterPowerLoss(SplittableRandom random) {
        MemoryDisk next = new MemoryDisk();
        for (Map.Entry<String, byte[]> e : current.entrySet()) {
            byte[] old = synced.get(e.getKey());
            byte[] file = e.getValue().clone();
            switch (random.nextInt(3)) {
                case 0 -> file = old;
                case 1 -> {
                    byte[] syncedBytes = old == null ? new byte[0] : old;
                    int length = file.length <= syncedBytes.length
                            ? (random.nextBoolean() ? file.length : syncedBytes.length)
                            : syncedBytes.length + random.nextInt(file.length - syncedBytes.length + 1);
                    byte[] torn = Arrays.copyOf(file.length >= length ? file : syncedBytes, length);
                    for (int i = 0; i < torn.length; i++) {
                        boolean same = i < syncedBytes.length && i < file.length && syncedBytes[i] == file[i];
                        if (!same && random.nextInt(4) == 0) {
                            torn[i] = i < syncedBytes.length ? syncedBytes[i] : 0;
                        }
                    }
                    file = torn;
                }
                default -> {}
            }
            if (file != null) {
                next.current.put(e.getKey(), file);
                next.synced.put(e.getKey(), file.clone());
            }
        }
        return next;
    }

    /** The bytes of a file, for tests that corrupt them. */
    byte[] rawBytes(String name) {
        return current.get(name);
    }
}
