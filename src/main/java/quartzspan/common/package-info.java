/**
 * Settings, logging, typed errors and the failure policy of event loops.
 *
 * <p>Owns no state. Must not import any other package of the system.
 */
package quartzspan.common;
