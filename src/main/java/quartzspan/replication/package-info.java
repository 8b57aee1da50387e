/**
 * The replicated control state and its consensus protocol: epochs, elections, memberships, the log. No clock; only
 * {@link quartzspan.replication.ReplicaStore} does I/O.
 *
 * <p>Owns the control state of one core machine. May import {@code common}, {@code configuration} and {@code store}.
 */
package quartzspan.replication;
