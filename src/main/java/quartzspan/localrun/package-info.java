/**
 * Runs a fleet in one process on loopback: the training run of the build's class-data archive, and a demonstration.
 *
 * <p>Owns no state. May import everything.
 */
package quartzspan.localrun;
