/**
 * Transport of the messages between the system's processes, in SBE over TCP.
 *
 * <p>Its event loop owns the connections. May import {@code common}, {@code http}, and the packages whose messages it encodes.
 */
package quartzspan.transport;
