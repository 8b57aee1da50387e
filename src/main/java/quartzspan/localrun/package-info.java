/**
 * A fleet on one machine, for the class-data archive of the build and for a first look.
 *
 * <p>Owns no state. May import everything.
 */
package quartzspan.localrun;
