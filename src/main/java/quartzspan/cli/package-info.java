/**
 * The operators' command line client of the control plane's API.
 *
 * <p>Owns no state. May import {@code common}, {@code configuration} and {@code replication}.
 */
package quartzspan.cli;
