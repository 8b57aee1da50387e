package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import quartzspan.common.FleetException;
import quartzspan.compatibility.GoldenFile;
import quartzspan.replication.RecordedCluster.Machine;
import quartzspan.store.FileDisk;
import quartzspan.store.SlotStore;

/** Data that earlier versions stored and sent can be read, and is written again byte for byte. */
class StoredStateCompatibilityTest {
    private static final String A = "10.0.0.1:7640";
    private static final String B = "10.0.0.2:7640";
    private static final String C = "10.0.0.3:7640";
    private static final String D = "10.0.0.4:7640";
    private static final String FIRST = "{\"version\":2,\"routes\":[],\"services\":[{\"name\":\"s\"}]}";
    private static final String PATCH = "{\"version\":5,\"upsert\":{\"services\":[{\"name\":\"t\"}]}}";
    private static final List<String> STAGES = List.of("founding", "changes", "joint-view", "lost-disk", "restart");

    @TempDir
    Path folder;

    private static Change change(Change.Kind kind, long base, String body) {
        return new Change(kind, base, body.getBytes(StandardCharsets.UTF_8));
    }

    /** A scenario with a change of each kind, a change of voters and a lost disk sends and writes exactly the same bytes. */
    @Test
    void recordedScenarioIsSentAndWrittenByteForByte() {
        Path disks = folder.resolve("disks");
        RecordedCluster cluster = new RecordedCluster(disks, List.of(A, B, C));
        for (String name : List.of(A, B, C)) {
            cluster.add(name).start(true);
        }
        cluster.run(100);
        compare("founding", disks);
        cluster.run(3_000);
        cluster.change(change(Change.Kind.REPLACE, 0, FIRST));
        cluster.change(change(Change.Kind.REPLACE, 0, FIRST.replace("2", "3")));
        cluster.change(change(Change.Kind.UPDATE, 2, PATCH));
        cluster.change(change(Change.Kind.UPDATE, 5, "{"));
        cluster.change(change(Change.Kind.WEIGHTS, 0, "{\"model\":\"m\",\"version\":7}"));
        cluster.change(change(Change.Kind.ROLLOUT_CLAIM, 0, A));
        cluster.read();
        compare("changes", disks);
        Machine added = cluster.add(D);
        added.start(false);
        assertTrue(cluster.runUntil(cluster.nowMs() + 10_000, cluster::isChangingVoters));
        compare("joint-view", disks);
        cluster.run(3_000);
        Machine primary = cluster.primary();
        primary.kill();
        primary.loseDisk();
        cluster.run(100);
        primary.start(false);
        cluster.run(4_000);
        compare("lost-disk", disks);
        added.kill();
        added.start(false);
        cluster.run(4_000);
        cluster.change(change(Change.Kind.WEIGHTS, 0, "{\"model\":\"m\",\"version\":8}"));
        compare("restart", disks);
        GoldenFile.assertText("replication/answers.txt", String.join("\n", cluster.replies()) + "\n");
        GoldenFile.assertText("replication/trace.txt", cluster.trace());
    }

    private static void compare(String stage, Path disks) {
        GoldenFile.assertFolder("replication/" + stage, disks);
    }

    /** Opens each store as on a start; the state read from it has the same bytes when it is encoded again. */
    @Test
    void storesOfEarlierVersionsAreReadAndTheirStateIsRewrittenUnchanged() {
        StringBuilder described = new StringBuilder();
        for (String stage : STAGES) {
            GoldenFile.copy(GoldenFile.path("replication/" + stage), folder.resolve(stage));
            for (String name : List.of(A, B, C, D)) {
                Path disk = folder.resolve(stage).resolve(name.replace(':', '_'));
                if (!GoldenFile.files(disk).isEmpty()) {
                    described
                            .append(stage)
                            .append(' ')
                            .append(describe(name, disk))
                            .append('\n');
                }
            }
        }
        GoldenFile.assertText("replication/stores.txt", described.toString());
    }

    private String describe(String name, Path disk) {
        List<byte[]> storedRecords = new ReplicaStore(new SlotStore(new FileDisk(disk))).open();
        Replica replica = new Replica(name, List.of(A, B, C), 1, false, storedRecords, 1, 1, new IgnoredOutput());
        byte[] state = replica.state().bytes();
        assertArrayEquals(state, ControlState.parse(state).bytes());
        Membership membership = replica.membership();
        assertEquals(membership, Membership.parse(membership.text()));
        return name + ": " + storedRecords.size() + " records, " + replica.role() + ", promised "
                + replica.promisedEpoch().text() + ", view " + membership.text() + ", copy "
                + replica.logEpoch().text() + " at " + replica.logIndex() + ", "
                + new String(replica.state().configuration().bytes(), StandardCharsets.UTF_8) + " "
                + replica.state().weights() + " " + replica.state().rolloutHolder() + " "
                + replica.state().fencingToken();
    }

    /** Writes the records of each store one by one to an empty folder, which results in identical files. */
    @Test
    void recordsOfEarlierVersionsAreRewrittenToIdenticalFiles() {
        for (String name : List.of(A, B, C)) {
            Path goldenFolder = GoldenFile.path("replication/changes").resolve(name.replace(':', '_'));
            Path copiedFolder = folder.resolve("copied " + name.hashCode());
            GoldenFile.copy(goldenFolder, copiedFolder);
            SlotStore.Contents contents = new SlotStore(new FileDisk(copiedFolder)).open();
            Path writtenFolder = folder.resolve("written " + name.hashCode());
            SlotStore store = new SlotStore(new FileDisk(writtenFolder));
            store.open();
            store.checkpoint(contents.state());
            contents.records().forEach(store::append);
            List<byte[]> rewritten = new ArrayList<>(
                    new SlotStore(new FileDisk(writtenFolder)).open().records());
            assertEquals(contents.records().size(), rewritten.size());
            GoldenFile.assertFolder("replication/changes/" + name.replace(':', '_'), writtenFolder);
        }
    }

    private static final class IgnoredOutput implements Replica.Output {
        @Override
        public void send(String to, ReplicaMessage message) {}

        @Override
        public void persist(long number, byte[] record) {}

        @Override
        public void completed(long requestId, FleetException rejection, ControlState state) {}

        @Override
        public void committed(long index, ControlState state, ChangeHistory history) {}
    }
}
