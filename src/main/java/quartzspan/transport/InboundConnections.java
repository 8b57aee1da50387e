package quartzspan.transport;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import quartzspan.transport.MessageCodec.Hello;

/**
 * Which of the connections that a process opened to us speaks for it: the one accepted last. What is still unread on an older
 * one was written before, by the same incarnation of the process or by one that has ended, and would come out of order. One that
 * another one has followed at its address never speaks again, whatever it opens: it may have been frozen meanwhile.
 */
final class InboundConnections {
    /** Incarnations remembered for each address. */
    private static final int MAX_REPLACED_INCARNATIONS = 16;

    private static final class Peer {
        long incarnation;
        long connectionNumber;
        /** Incarnations that another one has followed, the last ones of them. */
        final Set<Long> replacedIncarnations = Collections.newSetFromMap(new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                return size() > MAX_REPLACED_INCARNATIONS;
            }
        });
    }

    private final Map<String, Peer> peers = new HashMap<>();
    private long lastConnectionNumber;

    /** Number of a connection that is accepted now; later ones have higher numbers. */
    long nextConnectionNumber() {
        return ++lastConnectionNumber;
    }

    /** Whether a connection on which a message came speaks for the process at its address. */
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
