/**
 * Durable storage: two slots and a log of records, on an abstraction of files.
 *
 * <p>Owns the files of the data directory. May import {@code common}.
 */
package quartzspan.store;
