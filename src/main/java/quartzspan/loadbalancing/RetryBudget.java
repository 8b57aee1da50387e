package quartzspan.loadbalancing;

/** Retry budget of one proxy: its part of a budget shared by all proxies. Each request adds a fraction of a retry. */
public final class RetryBudget {
    /** Part of the budget that is used, since the proxies count requests at slightly different times. */
    private static final double USED_PART = 0.7;

    private double tokens;

    /**
     * Adds the retries that a request earns.
     *
     * @param ratio retries per request that are permitted
     * @param allowance retries that all proxies together may send beyond the ratio
     * @param proxies number of proxies that share the allowance
     */
    public void onRequest(double ratio, double allowance, int proxies) {
        double maximum = USED_PART * allowance / Math.max(1, proxies);
        tokens = Math.min(maximum, tokens + USED_PART * ratio);
    }

    /** Takes one retry from the budget; returns whether there was one. */
    public boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
