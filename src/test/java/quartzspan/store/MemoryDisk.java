package quartzspan.store;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import quartzspan.common.FleetException;

/** A disk in memory that can lose power, be full, and tear what was not synced. */
final class MemoryDisk implements Disk {
    private final Map<String, byte[]> now = new HashMap<>();
    private final Map<String, byte[]> safe = new HashMap<>();
    /** Operations until power goes; negative: never. */
    int powerAfter = -1;

    boolean full;
    int operations;

    /** Power is gone. */
    static final class Dark extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    private void operation() {
        operations++;
        if (powerAfter >= 0 && operations > powerAfter) {
            throw new Dark();
        }
    }

    @Override
    public byte[] read(String name) {
        byte[] file = now.get(name);
        return file == null ? null : file.clone();
    }

    @Override
    public void write(String name, long at, byte[] bytes) {
        byte[] old = now.getOrDefault(name, new byte[0]);
        if (full) {
            byte[] part = Arrays.copyOf(bytes, bytes.length / 2);
            put(name, at, part, old);
            throw new FleetException(FleetException.Code.STORE_REFUSES, "full", "free space");
        }
        put(name, at, bytes, old);
        operation();
    }

    private void put(String name, long at, byte[] bytes, byte[] old) {
        byte[] file = Arrays.copyOf(old, (int) Math.max(old.length, at + bytes.length));
        System.arraycopy(bytes, 0, file, (int) at, bytes.length);
        now.put(name, file);
    }

    @Override
    public void truncate(String name, long length) {
        now.put(name, Arrays.copyOf(now.getOrDefault(name, new byte[0]), (int)
                Math.min(length, now.getOrDefault(name, new byte[0]).length)));
        operation();
    }

    @Override
    public void sync(String name) {
        operation();
        safe.put(name, now.get(name).clone());
    }

    @Override
    public void syncFolder() {
        operation();
    }

    /** What is there once power is back: of what was not synced all, nothing, or a part with noise in it. */
    MemoryDisk after(SplittableRandom random) {
        MemoryDisk next = new MemoryDisk();
        for (Map.Entry<String, byte[]> e : now.entrySet()) {
            byte[] old = safe.get(e.getKey());
            byte[] file = e.getValue().clone();
            switch (random.nextInt(3)) {
                case 0 -> file = old;
                case 1 -> {
                    byte[] base = old == null ? new byte[0] : old;
                    int length = file.length <= base.length
                            ? (random.nextBoolean() ? file.length : base.length)
                            : base.length + random.nextInt(file.length - base.length + 1);
                    byte[] torn = Arrays.copyOf(file.length >= length ? file : base, length);
                    for (int i = 0; i < torn.length; i++) {
                        boolean same = i < base.length && i < file.length && base[i] == file[i];
                        if (!same && random.nextInt(4) == 0) {
                            torn[i] = i < base.length ? base[i] : 0;
                        }
                    }
                    file = torn;
                }
                default -> {}
            }
            if (file != null) {
                next.now.put(e.getKey(), file);
                next.safe.put(e.getKey(), file.clone());
            }
        }
        return next;
    }

    /** The bytes of a file, to spoil them. */
    byte[] raw(String name) {
        return now.get(name);
    }
}
