/**
 * Settings, logging, typed errors and the failure policy of event loops.
 *
 * <p>Owns no state. May import none of the other packages.
 */
package quartzspan.common;
