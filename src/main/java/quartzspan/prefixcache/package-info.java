/**
 * The index of cached prompt blocks: which server has which block. It has no clock and does no I/O.
 *
 * <p>Owns the index of one process. Must not import any other package of the system.
 */
package quartzspan.prefixcache;
