/**
 * HTTP/1.1 for proxies: a server for client connections, a connection pool for upstream servers, and strict message framing.
 *
 * <p>Each object is confined to one event loop. The only package this one may import is {@code loadbalancing}, for the outcome of
 * an attempt.
 */
package quartzspan.http;
