package quartzspan.loadbalancing;

import java.util.ArrayList;
import java.util.List;
import quartzspan.loadbalancing.LoadBalancer.Outcome;
import quartzspan.loadbalancing.LoadBalancer.Request;
import quartzspan.loadbalancing.LoadBalancer.RequestClass;

/** State that {@link RingHashLoadBalancer} keeps of endpoints, requests and attempts; it decides nothing. */
final class BalancerState {
    private BalancerState() {}

    /** State of one endpoint. Kept after the endpoint has left the list while it has attempts in flight. */
    static final class EndpointState {
        final String id;
        final long hash;
        int zone;
        int kind;
        int cell;
        double weight = 1;
        /** Whether its last attempt with a latency sample was slow or lost. */
        boolean overloaded;

        long sampledAt = Long.MIN_VALUE / 2;
        long fastResponseAt = Long.MIN_VALUE / 2;
        /** Until then it is skipped if possible, after a slow probe. */
        long busyUntil;

        double capacity;
        /** Decayed number of requests offered to it, whether or not they were sent to it. */
        double load;
        /** Start of its process, from which its slow start is counted. */
        long startedAt;

        boolean cold;
        boolean ready;
        boolean onRing;
        final List<Attempt> outstanding = new ArrayList<>();
        /** Concurrency limit; below 1, the share of requests that it admits. */
        double limit;

        boolean limitReduced;
        /** Log-likelihood ratio of its latest outcomes: a failing endpoint against the rate common to all. */
        double evidence;

        /** Time of its latest response. */
        long replyAt;
        /** Send time of the newest attempt that was answered. */
        long newestAnsweredSentAt = Long.MIN_VALUE;

        long connectedUntil;
        /** Sends that it may take during its slow start. */
        double credits;
        /** Number of sends of the instance when credit was last added. */
        long creditedSends;

        boolean ejected;
        /** Whether it was ejected because a connection failed. */
        boolean down;

        long ejectedUntil;
        /** Duration of its last ejection. */
        long ejectionUs;
        /** The trial request after its ejection; null if none is in flight. */
        Attempt trial;
        /** The last walk or list that included it. */
        int lastWalk;

        EndpointState(String id, long hash, double limit) {
            this.id = id;
            this.hash = hash;
            this.limit = limit;
        }
    }

    /** State of a request, kept until all its attempts have ended. */
    static final class RequestState {
        /** The request as it arrived. */
        final Request spec;

        final RequestClass type;
        final long hash;
        /** End of its target latency. */
        final long targetAt;
        /** End of its budget. */
        final long deadlineAt;

        final double value;
        final List<Attempt> attempts = new ArrayList<>(2);
        int outstanding;
        /** End of its time in the queue; 0 if it was never queued. */
        long queuedUntil;

        EndpointState probedEndpoint;
        long probeUntil;
        int probeCount;
        /** Whether the load bound and probes apply to it. */
        boolean loadAware;
        /** Sequence number of the request in this instance. */
        final long sequence;

        RequestState(Request spec, RequestClass type, long hash, long arrivedAt, double value, long sequence) {
            this.sequence = sequence;
            this.spec = spec;
            this.type = type;
            this.hash = hash;
            this.value = value;
            this.deadlineAt = arrivedAt + Math.max(0, spec.budgetUs());
            long targetUs = type.targetUs() + (long) (type.targetWorkFactor() * Math.max(0, spec.expectedUs()));
            this.targetAt = Math.min(deadlineAt, arrivedAt + Math.min(targetUs, type.deadlineUs()));
        }

        /** Time after which a response has no value. */
        long usefulUntil() {
            return type.lateValue() > 0 ? deadlineAt : targetAt;
        }
    }

    /** One attempt; {@code outcome} is null while it is in flight. */
    static final class Attempt {
        final RequestState request;
        final EndpointState endpoint;
        final int number;
        final long sentAt;
        boolean canceled;
        boolean streaming;
        Outcome outcome;

        Attempt(RequestState request, EndpointState endpoint, int number, long sentAt) {
            this.request = request;
            this.endpoint = endpoint;
            this.number = number;
            this.sentAt = sentAt;
        }

        boolean mayHaveRun() {
            return outcome == null || !outcome.neverRan();
        }
    }
}
