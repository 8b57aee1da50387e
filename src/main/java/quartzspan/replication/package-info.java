/**
 * The replicated control state: epochs, elections, memberships, the log. No clock, no I/O.
 *
 * <p>Owns the control state of one core machine. May import {@code common}, {@code configuration} and {@code store}.
 */
package quartzspan.replication;
