/**
 * The registry of servers, proxies and core machines at one process, and the gossip protocol that replicates it. No I/O, no clock.
 *
 * <p>Owns the registry and the published state of one process. May import {@code common}, {@code configuration} and {@code replication}.
 */
package quartzspan.registry;
