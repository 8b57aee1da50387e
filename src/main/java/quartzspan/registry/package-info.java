/**
 * Servers, proxies and core machines as one process knows them, and the gossip that spreads them. No clock, no I/O.
 *
 * <p>Owns the registry and the published state of one process. May import {@code common}, {@code configuration} and {@code replication}.
 */
package quartzspan.registry;
