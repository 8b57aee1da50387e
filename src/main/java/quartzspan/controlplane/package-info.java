/**
 * The process of a core machine: wiring, the APIs for operators and servers, rollout of weights, prefix cache indexing.
 *
 * <p>Its event loop owns the registry and the replica; a disk thread owns the store. May import all libraries, but not {@code
 * frontend}.
 */
package quartzspan.controlplane;
