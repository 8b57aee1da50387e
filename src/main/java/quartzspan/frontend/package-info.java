/**
 * The process of a frontend machine: classifies clients' requests and forwards them to model servers.
 *
 * <p>Its event loop owns the endpoints and the requests in flight. May import all libraries, not {@code controlplane}.
 */
package quartzspan.frontend;
