/**
 * The process of a frontend machine: classifies client requests and forwards them to model servers.
 *
 * <p>Its event loop owns the endpoints and the requests in flight. May import every library package, but not
 * {@code controlplane}.
 */
package quartzspan.frontend;
