/**
 * The process of a core machine: wiring, API of operators and servers, rollout of weights, prefix cache indexing.
 *
 * <p>Its event loop owns the registry and the replica; a disk thread owns the store. May import all libraries, not {@code frontend}.
 */
package quartzspan.controlplane;
