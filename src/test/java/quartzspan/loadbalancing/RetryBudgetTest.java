package quartzspan.loadbalancing;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Number of retries that a proxy may send. */
class RetryBudgetTest {
    private final RetryBudget budget = new RetryBudget();

    @Test
    void requestsEarnRetriesAndANewProcessHasNone() {
        assertFalse(budget.tryAcquire());
        for (int i = 0; i < 100; i++) {
            budget.onRequest(0.2, 60, 6);
        }
        int retries = 0;
        while (budget.tryAcquire()) {
            retries++;
        }
        assertTrue(retries <= 10 && retries >= 5, retries + " retries");
    }
}
