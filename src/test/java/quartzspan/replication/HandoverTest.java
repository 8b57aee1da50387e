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

/** A terminating replica first hands over the primary role, its data copy and its vote. */
class HandoverTest {
    private static final long SETTLE_MS = 3_000;
    private static final long HANDOVER_MS = 1_500;

    private static SimulatedCluster settledCluster(int toleratedFailures) {
        SimulatedCluster cluster = new SimulatedCluster(7, toleratedFailures);
        cluster.machines.values().forEach(machine -> machine.start(true));
        cluster.run(cluster.nowMs + 3 * SETTLE_MS);
        cluster.submitConcurrentChanges(1);
        cluster.run(cluster.nowMs + SETTLE_MS);
        assertEquals(1, cluster.acknowledgedChanges.size());
        return cluster;
    }

    private static Machine backup(SimulatedCluster cluster) {
        Membership membership = cluster.primary().replica.membership();
        return cluster.machines.get(membership.dataReplicas().get(1));
    }

    private static void remove(SimulatedCluster cluster, Machine machine) {
        machine.kill();
        cluster.machines.remove(machine.name);
    }

    private static void assertAcceptsChanges(SimulatedCluster cluster) {
        int acknowledgedBefore = cluster.acknowledgedChanges.size();
        cluster.submitConcurrentChanges(1);
        cluster.run(cluster.nowMs + SETTLE_MS);
        assertEquals(acknowledgedBefore + 1, cluster.acknowledgedChanges.size());
    }

    @Test
    void terminatingPrimaryHandsOverImmediately() {
        SimulatedCluster cluster = settledCluster(1);
        Machine terminating = cluster.primary();
        terminating.replica.beginHandover(cluster.nowMs);
        cluster.run(cluster.nowMs + HANDOVER_MS);
        assertTrue(terminating.replica.isHandoverComplete(cluster.nowMs));
        assertFalse(terminating.replica.isPrimary());
        Membership membership = cluster.primary().replica.membership();
        assertFalse(membership.dataReplicas().contains(terminating.name), membership.text());
        assertEquals(2, membership.dataReplicas().size());
    }

    @Test
    void terminatingBackupIsNoDataReplicaAfterHandover() {
        SimulatedCluster cluster = settledCluster(1);
        Machine terminating = backup(cluster);
        terminating.replica.beginHandover(cluster.nowMs);
        cluster.run(cluster.nowMs + HANDOVER_MS);
        assertTrue(terminating.replica.isHandoverComplete(cluster.nowMs));
        Membership membership = cluster.primary().replica.membership();
        assertFalse(membership.dataReplicas().contains(terminating.name), membership.text());
        assertEquals(2, membership.dataReplicas().size());
    }

    /** A terminating backup leaves, and right afterwards the primary's disk is lost. */
    @Test
    void acknowledgedChangesSurviveBackupTerminationAndPrimaryDiskLoss() {
        for (int toleratedFailures = 1; toleratedFailures <= 2; toleratedFailures++) {
            SimulatedCluster cluster = settledCluster(toleratedFailures);
            Machine standby = cluster.new Machine("10.0.9.9:7000");
            cluster.machines.put(standby.name, standby);
            standby.start(false);
            cluster.run(cluster.nowMs + 2 * SETTLE_MS);
            Machine terminating = backup(cluster);
            terminating.replica.beginHandover(cluster.nowMs);
            cluster.run(cluster.nowMs + HANDOVER_MS);
            assertTrue(terminating.replica.isHandoverComplete(cluster.nowMs));
            assertEquals(ReplicaRole.STANDBY, terminating.replica.role(), "the other standby has taken over its vote");
            remove(cluster, terminating);
            Machine wiped = cluster.primary();
            wiped.kill();
            wiped.disk = new ArrayList<>();
            cluster.run(cluster.nowMs + 500);
            wiped.start(false);
            cluster.run(cluster.nowMs + SETTLE_MS);
            assertAcceptsChanges(cluster);
            Change first = cluster.acknowledgedChanges.firstEntry().getValue();
            ControlState state = cluster.primary().replica.state();
            assertEquals(state, state.with(first), "f = " + toleratedFailures);
        }
    }

    /**
     * A voter is lost and its successor starts: the voter set must not grow meanwhile, so that a majority of the three voters
     * remains even if the successor is lost again.
     */
    @Test
    void standbyIsNotAddedWhileAVoterIsUnresponsive() {
        SimulatedCluster cluster = settledCluster(1);
        Machine removed = backup(cluster);
        remove(cluster, removed);
        cluster.run(cluster.nowMs + 800);
        Machine successor = cluster.new Machine("10.0.9.9:7000");
        cluster.machines.put(successor.name, successor);
        successor.start(false);
        for (int i = 0; i < 30; i++) {
            cluster.run(cluster.nowMs + 50);
            Machine primary = cluster.primary();
            if (primary != null) {
                assertEquals(
                        3,
                        primary.replica.membership().voters().size(),
                        primary.replica.membership().text());
            }
        }
        cluster.run(cluster.nowMs + SETTLE_MS);
        Membership membership = cluster.primary().replica.membership();
        assertTrue(membership.voters().contains(successor.name), membership.text());
        assertFalse(membership.voters().contains(removed.name), membership.text());
    }

    @Test
    void recoveringReplicaMayStopImmediately() {
        SimulatedCluster cluster = settledCluster(1);
        Machine wiped = backup(cluster);
        wiped.kill();
        wiped.disk = new ArrayList<>();
        wiped.start(false);
        assertTrue(wiped.replica.isRecovering());
        wiped.replica.beginHandover(cluster.nowMs);
        assertTrue(wiped.replica.isHandoverComplete(cluster.nowMs));
    }

    @Test
    void primaryWithoutSuccessorStaysPrimaryUntilItStops() {
        SimulatedCluster cluster = settledCluster(1);
        Machine terminating = cluster.primary();
        Set<Machine> others = new TreeSet<>((a, b) -> a.name.compareTo(b.name));
        others.addAll(cluster.machines.values());
        others.remove(terminating);
        Machine backup = backup(cluster);
        backup.replica.beginHandover(cluster.nowMs);
        terminating.replica.beginHandover(cluster.nowMs);
        cluster.run(cluster.nowMs + HANDOVER_MS);
        assertNotEquals(null, cluster.primary(), "there is still a primary");
        assertAcceptsChanges(cluster);
        assertEquals(2, others.size());
    }

    @Test
    void replicaRestartedAfterHandoverRemainsAVoter() {
        SimulatedCluster cluster = settledCluster(1);
        Machine terminating = cluster.primary();
        terminating.replica.beginHandover(cluster.nowMs);
        cluster.run(cluster.nowMs + HANDOVER_MS);
        terminating.kill();
        cluster.run(cluster.nowMs + 300);
        terminating.start(false);
        cluster.run(cluster.nowMs + SETTLE_MS);
        assertEquals(List.of(ReplicaRole.WITNESS), List.of(terminating.replica.role()));
        assertAcceptsChanges(cluster);
    }
}
