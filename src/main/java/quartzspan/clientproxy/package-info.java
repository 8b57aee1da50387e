/**
 * The client proxy in service for single deployments: discovery, health checks and requests, over the load balancer.
 *
 * <p>Its event loop owns the list of endpoints and the requests in flight. May import {@code http}, {@code loadbalancing} and {@code simulator}.
 */
package quartzspan.clientproxy;
