package quartzspan.transport;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import quartzspan.transport.MessageCodec.Hello;

/**
 * Determines from which of a peer's connections messages are accepted: only from the one accepted last. Unread messages of an
 * older connection were written earlier, by the same incarnation of the peer or by one that has ended, and would be delivered
 * out of order. Messages of an incarnation that another one at the same address has replaced are never accepted again, even on a
 * new connection: the process may have been suspended and resumed.
 */
final class InboundConnections {
    /** Maximum number of replaced incarnations kept for each address. */
    private static final int MAX_REPLACED_INCARNATIONS = 16;
    /** Maximum number of addresses; the one that has been silent for longest is forgotten. Several times the largest fleet. */
    static final int MAX_PEERS = 4_096;
    /** The share of its size to which a hash table is filled before it grows. */
    private static final float LOAD_FACTOR = 0.75f;

    private static final class Peer {
        long incarnation;
        long connectionNumber;
        /** The most recent incarnations that another one has replaced. */
        final Set<Long> replacedIncarnations = Collections.newSetFromMap(new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                return size() > MAX_REPLACED_INCARNATIONS;
            }
        });
    }

    private final Map<String, Peer> peers = new LinkedHashMap<>(MAX_REPLACED_INCARNATIONS, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Peer> eldest) {
            return size() > MAX_PEERS;
        }
    };
    private long lastConnectionNumber;

    /** The number for a newly accepted connection; numbers increase. */
    long nextConnectionNumber() {
        return ++lastConnectionNumber;
    }

    /** Whether a message from a peer on a connection is accepted. */
    boolean isCurrent(Hello from, long connectionNumber) {
        Peer peer = peers.get(from.address());
        if (peer == null) {
            peer = new Peer();
            peer.incarnation = from.incarnation();
            peers.put(from.address(), peer);
        }
        if (connectionNumber < peer.connectionNumber || peer.replacedIncarnations.contains(from.incarnation())) {
            return false;
        }
        if (peer.incarnation != from.incarnation()) {
            peer.replacedIncarnations.add(peer.incarnation);
            peer.incarnation = from.incarnation();
        }
        peer.connectionNumber = connectionNumber;
        return true;
    }
}
