/**
 * Command line client for operators, which calls the API of the control plane.
 *
 * <p>Owns no state. May import {@code common}, {@code configuration} and {@code replication}.
 */
package quartzspan.cli;
