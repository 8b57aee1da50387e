/**
 * Durable storage: two slots and a log of records, over a few operations on files.
 *
 * <p>Owns the files of the data directory. May import {@code common}.
 */
package quartzspan.store;
