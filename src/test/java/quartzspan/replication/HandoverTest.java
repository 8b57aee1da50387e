package quartzspan.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import quartzspan.replication.SimulatedCluster.Machine;

/** A replica that is told to end hands over the lead, its copy and its vote first. */
class HandoverTest {
    private static final long CALM_MS = 3_000;
    private static final long HANDOVER_MS = 1_500;

    private static SimulatedCluster calm(int losses) {
        SimulatedCluster cluster = new SimulatedCluster(7, losses);
        cluster.machines.values().forEach(machine -> machine.start(true));
        cluster.run(cluster.now + 3 * CALM_MS);
        cluster.race(1);
        cluster.run(cluster.now + CALM_MS);
        assertEquals(1, cluster.acked.size());
        return cluster;
    }

    private static Machine backup(SimulatedCluster cluster) {
        Membership view = cluster.primary().replica.membership();
        return cluster.machines.get(view.dataReplicas().get(1));
    }

    private static void end(SimulatedCluster cluster, Machine machine) {
        machine.kill();
        cluster.machines.remove(machine.name);
    }

    private static void assertTakesChanges(SimulatedCluster cluster) {
        int before = cluster.acked.size();
        cluster.race(1);
        cluster.run(cluster.now + CALM_MS);
        assertEquals(before + 1, cluster.acked.size());
    }

    @Test
    void leavingPrimaryHandsOverAtOnce() {
        SimulatedCluster cluster = calm(1);
        Machine leaver = cluster.primary();
        leaver.replica.beginHandover(cluster.now);
        cluster.run(cluster.now + HANDOVER_MS);
        assertTrue(leaver.replica.isHandoverComplete(cluster.now));
        assertFalse(leaver.replica.isPrimary());
        Membership view = cluster.primary().replica.membership();
        assertFalse(view.dataReplicas().contains(leaver.name), view.text());
        assertEquals(2, view.dataReplicas().size());
    }

    @Test
    void leavingBackupHoldsNoDataWhenItEnds() {
        SimulatedCluster cluster = calm(1);
        Machine leaver = backup(cluster);
        leaver.replica.beginHandover(cluster.now);
        cluster.run(cluster.now + HANDOVER_MS);
        assertTrue(leaver.replica.isHandoverComplete(cluster.now));
        Membership view = cluster.primary().replica.membership();
        assertFalse(view.dataReplicas().contains(leaver.name), view.text());
        assertEquals(2, view.dataReplicas().size());
    }

    /** The letter's third point: the leaver goes, and the primary's disk is lost right after. */
    @Test
    void acknowledgedChangesOutliveALeavingBackupAndThePrimarysDisk() {
        for (int losses = 1; losses <= 2; losses++) {
            SimulatedCluster cluster = calm(losses);
            Machine standby = cluster.new Machine("10.0.9.9:7000");
            cluster.machines.put(standby.name, standby);
            standby.start(false);
            cluster.run(cluster.now + 2 * CALM_MS);
            Machine leaver = backup(cluster);
            leaver.replica.beginHandover(cluster.now);
            cluster.run(cluster.now + HANDOVER_MS);
            assertTrue(leaver.replica.isHandoverComplete(cluster.now));
            assertEquals(ReplicaRole.STANDBY, leaver.replica.role(), "the standby has its vote");
            end(cluster, leaver);
            Machine wiped = cluster.primary();
            wiped.kill();
            wiped.disk = new ArrayList<>();
            cluster.run(cluster.now + 500);
            wiped.start(false);
            cluster.run(cluster.now + CALM_MS);
            assertTakesChanges(cluster);
            Change first = cluster.acked.firstEntry().getValue();
            ControlState state = cluster.primary().replica.state();
            assertEquals(state, state.with(first), "f = " + losses);
        }
    }

    /** A voter is gone, its successor comes and is lost again: a majority of the three is there all the while. */
    @Test
    void standbyIsNotAddedBesideASilentVoter() {
        SimulatedCluster cluster = calm(1);
        Machine gone = backup(cluster);
        end(cluster, gone);
        cluster.run(cluster.now + 800);
        Machine successor = cluster.new Machine("10.0.9.9:7000");
        cluster.machines.put(successor.name, successor);
        successor.start(false);
        for (int i = 0; i < 30; i++) {
            cluster.run(cluster.now + 50);
            Machine primary = cluster.primary();
            if (primary != null) {
                assertEquals(
                        3,
                        primary.replica.membership().voters().size(),
                        primary.replica.membership().text());
            }
        }
        cluster.run(cluster.now + CALM_MS);
        Membership view = cluster.primary().replica.membership();
        assertTrue(view.voters().contains(successor.name), view.text());
        assertFalse(view.voters().contains(gone.name), view.text());
    }

    @Test
    void recoveringReplicaMayEndAtOnce() {
        SimulatedCluster cluster = calm(1);
        Machine wiped = backup(cluster);
        wiped.kill();
        wiped.disk = new ArrayList<>();
        wiped.start(false);
        assertTrue(wiped.replica.isRecovering());
        wiped.replica.beginHandover(cluster.now);
        assertTrue(wiped.replica.isHandoverComplete(cluster.now));
    }

    @Test
    void primaryWithoutSuccessorLeadsUntilItEnds() {
        SimulatedCluster cluster = calm(1);
        Machine leaver = cluster.primary();
        Set<Machine> others = new TreeSet<>((a, b) -> a.name.compareTo(b.name));
        others.addAll(cluster.machines.values());
        others.remove(leaver);
        Machine backup = backup(cluster);
        backup.replica.beginHandover(cluster.now);
        leaver.replica.beginHandover(cluster.now);
        cluster.run(cluster.now + HANDOVER_MS);
        assertNotEquals(null, cluster.primary(), "somebody leads");
        assertTakesChanges(cluster);
        assertEquals(2, others.size());
    }

    @Test
    void replicaThatComesBackAfterLeavingKeepsItsVote() {
        SimulatedCluster cluster = calm(1);
        Machine leaver = cluster.primary();
        leaver.replica.beginHandover(cluster.now);
        cluster.run(cluster.now + HANDOVER_MS);
        leaver.kill();
        cluster.run(cluster.now + 300);
        leaver.start(false);
        cluster.run(cluster.now + CALM_MS);
        assertEquals(List.of(ReplicaRole.WITNESS), List.of(leaver.replica.role()));
        assertTakesChanges(cluster);
    }
}
