package quartzspan.transport;

import quartzspan.transport.MessageCodec.Hello;

/** Messages to other processes of the system, unreliable: each comes once or not at all, those of one sender in order. */
public interface Transport {
    /** Sends to an internal address, {@code IP:PORT}. */
    void send(String to, Object message);

    /** Where messages of others come to. */
    interface Receiver {
        void received(Hello from, Object message);
    }
}
