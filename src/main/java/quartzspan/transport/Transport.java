package quartzspan.transport;

import quartzspan.transport.MessageCodec.Hello;

/** Unreliable messages between the system's processes: delivered at most once, and in order for each sender. */
public interface Transport {
    /** Sends a message to an internal address, {@code IP:PORT}. */
    void send(String to, Object message);

    /** Receives the messages of other processes. */
    interface Receiver {
        void received(Hello from, Object message);
    }
}
