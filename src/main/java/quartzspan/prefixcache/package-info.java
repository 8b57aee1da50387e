/**
 * The index of cached prompt blocks: which server has which block. No clock, no I/O.
 *
 * <p>Owns the index of one process. May import none of the other packages.
 */
package quartzspan.prefixcache;
