/**
 * HTTP/1.1 for proxies: a server for clients, a connection pool for servers, strict framing.
 *
 * <p>Each object is owned by one event loop. May import {@code loadbalancing}, for the outcome of an attempt.
 */
package quartzspan.http;
