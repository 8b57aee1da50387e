package quartzspan.replication.simulation;

import java.util.ArrayList;
import java.util.List;

/** Steps that wait for an event. */
final class TriggerBoard {
    private static final class Waiting {
        private final Step.Trigger trigger;
        private final long delay;
        private final Runnable run;
        private int count;

        private Waiting(Step step, Runnable run) {
            this.trigger = step.trigger();
            this.count = step.triggerCount();
            this.delay = step.triggerDelayMs();
            this.run = run;
        }
    }

    private final EventQueue queue;
    private final List<Waiting> waiting = new ArrayList<>();

    TriggerBoard(EventQueue queue) {
        this.queue = queue;
    }

    void add(Step step, Runnable run) {
        if (step.trigger() == Step.Trigger.TIME) {
            run.run();
        } else {
            waiting.add(new Waiting(step, run));
        }
    }

    /** What still waits does not take place. */
    void close() {
        waiting.clear();
    }

    void fire(Step.Trigger trigger) {
        if (waiting.isEmpty()) {
            return;
        }
        waiting.removeIf(w -> {
            if (w.trigger != trigger || --w.count > 0) {
                return false;
            }
            queue.after(w.delay, w.run);
            return true;
        });
    }
}
