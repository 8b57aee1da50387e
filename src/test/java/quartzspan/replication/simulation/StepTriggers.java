package quartzspan.replication.simulation;

import java.util.ArrayList;
import java.util.List;
import quartzspan.simulation.EventQueue;

/** Runs steps that wait for an event. */
final class StepTriggers {
    private static final class PendingStep {
        private final Step.Trigger trigger;
        private final long delayMs;
        private final Runnable action;
        private int remainingEvents;

        private PendingStep(Step step, Runnable action) {
            this.trigger = step.trigger();
            this.remainingEvents = step.triggerCount();
            this.delayMs = step.triggerDelayMs();
            this.action = action;
        }
    }

    private final EventQueue queue;
    private final List<PendingStep> pendingSteps = new ArrayList<>();

    StepTriggers(EventQueue queue) {
        this.queue = queue;
    }

    void add(Step step, Runnable action) {
        if (step.trigger() == Step.Trigger.TIME) {
            action.run();
        } else {
            pendingSteps.add(new PendingStep(step, action));
        }
    }

    /** Discards the steps that are still waiting. */
    void cancelPending() {
        pendingSteps.clear();
    }

    void fire(Step.Trigger trigger) {
        if (pendingSteps.isEmpty()) {
            return;
        }
        pendingSteps.removeIf(pending -> {
            if (pending.trigger != trigger || --pending.remainingEvents > 0) {
                return false;
            }
            queue.schedule(pending.delayMs, pending.action);
            return true;
        });
    }
}
