package quartzspan.registry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Keeps the entries of servers that drain or have ended on the disk of a core machine. The registry itself is in memory only: if
 * all processes of the fleet end at once, an announcement that was acknowledged would be forgotten, and a delayed heartbeat would
 * make the server ready again. Performs no I/O and reads no clock; times are milliseconds of a steady clock.
 *
 * <p>The log is reconciled with the registry, whichever way an entry has come: what the registry has and the disk lacks is written,
 * and what the registry has dropped is left out of the next checkpoint.
 */
public final class DepartureLog implements EntryDurability {
    /** After a write has failed, the next one is tried this much later. */
    static final long RETRY_INTERVAL_MS = 200;
    /** Actions that wait for a write; the oldest one is dropped beyond this. Those who wait ask again. */
    static final int MAX_WAITING = 4_096;
    /** Superseded or expired entries on disk beyond which they are dropped by a checkpoint. */
    static final int MAX_OBSOLETE_ENTRIES = 256;

    /** Writes records, in the order of the calls. */
    public interface Output {
        /** Writes a record; its result has to be reported to {@link DepartureLog#onPersisted}. */
        void persist(DepartureRecord record);
    }

    /** An action that waits until the entries are durable. */
    private record Waiting(List<RegistryEntry> entries, Runnable onDurable) {}

    private final Registry registry;
    private final Output output;
    /** The entries on disk, by instance id. */
    private final Map<String, RegistryEntry> durable = new HashMap<>();
    /** The newest entries handed to the output, by instance id. */
    private final Map<String, RegistryEntry> written = new HashMap<>();

    private final ArrayDeque<DepartureRecord> writesInFlight = new ArrayDeque<>();
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    /** Entries on disk since the last checkpoint, superseded ones included. */
    private int storedEntries;

    private boolean complete;
    private boolean checkpointDue;
    private long reconciledVersion = -1;
    private long notBeforeMs = Registry.NEVER;

    /**
     * Merges the stored entries into the registry.
     *
     * @param stored the records on disk, oldest first
     * @param complete whether the stored entries include every departure that was acknowledged before this start
     */
    public DepartureLog(long now, Registry registry, List<DepartureRecord> stored, boolean complete, Output output) {
        this.registry = registry;
        this.output = output;
        this.complete = complete;
        this.checkpointDue = stored.isEmpty();
        for (DepartureRecord record : stored) {
            onStored(record);
        }
        written.putAll(durable);
        durable.values().forEach(entry -> registry.merge(now, entry));
    }

    /** Whether the entries on disk include every departure that was acknowledged before this process started. */
    public boolean isComplete() {
        return complete;
    }

    /** The registry now includes every departure that was acknowledged before this process started. */
    public void onCaughtUp(long now) {
        if (!complete) {
            complete = true;
            checkpointDue = true;
            reconcile(now);
        }
    }

    /** Writes what the disk lacks; to be called about every 50 ms. */
    public void onTick(long now) {
        reconcile(now);
    }

    @Override
    public void whenDurable(long now, List<RegistryEntry> entries, Runnable onDurable) {
        reconcile(now);
        if (areDurable(entries)) {
            onDurable.run();
            return;
        }
        waiting.add(new Waiting(entries, onDurable));
        if (waiting.size() > MAX_WAITING) {
            waiting.remove();
        }
    }

    private boolean areDurable(List<RegistryEntry> entries) {
        return entries.stream()
                .allMatch(entry -> !DepartureRecord.isDeparture(entry) || !entry.supersedes(durable.get(entry.key())));
    }

    private void reconcile(long now) {
        long version = registry.version(RegistryEntry.Subject.SERVER);
        if (version == reconciledVersion && !checkpointDue || now < notBeforeMs) {
            return;
        }
        reconciledVersion = version;
        List<RegistryEntry> departures = registry.all(RegistryEntry.Subject.SERVER).stream()
                .filter(DepartureRecord::isDeparture)
                .toList();
        if (checkpointDue || storedEntries > departures.size() + MAX_OBSOLETE_ENTRIES) {
            checkpointDue = false;
            storedEntries = 0;
            written.clear();
            persist(DepartureRecord.checkpoint(complete, departures));
            return;
        }
        List<RegistryEntry> missing = departures.stream()
                .filter(entry -> entry.supersedes(written.get(entry.key())))
                .toList();
        if (!missing.isEmpty()) {
            persist(DepartureRecord.addition(missing));
        }
    }

    private void persist(DepartureRecord record) {
        record.entries().forEach(entry -> written.put(entry.key(), entry));
        storedEntries += record.entries().size();
        writesInFlight.add(record);
        output.persist(record);
    }

    /**
     * The oldest record that was handed to the output is durable, or could not be written. After a failure everything is written
     * again, since the disk may have any part of the record.
     */
    public void onPersisted(long now, boolean isDurable) {
        DepartureRecord record = writesInFlight.remove();
        if (isDurable) {
            onStored(record);
            runWaiting();
        } else {
            checkpointDue = true;
            notBeforeMs = now + RETRY_INTERVAL_MS;
        }
    }

    private void onStored(DepartureRecord record) {
        if (record.checkpoint()) {
            durable.clear();
        }
        record.entries().forEach(entry -> durable.put(entry.key(), entry));
    }

    private void runWaiting() {
        List<Runnable> done = new ArrayList<>();
        for (Iterator<Waiting> all = waiting.iterator(); all.hasNext(); ) {
            Waiting next = all.next();
            if (areDurable(next.entries())) {
                all.remove();
                done.add(next.onDurable());
            }
        }
        done.forEach(Runnable::run);
    }
}
