/**
 * The operators' command line client of the control plane's API.
 *
 * <p>Owns no state. May import {@code common} and {@code configuration}.
 */
package quartzspan.cli;
