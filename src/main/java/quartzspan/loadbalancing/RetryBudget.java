package quartzspan.loadbalancing;

/** This proxy's part of the retries that all proxies together may send: each request earns a fraction of one. */
public final class RetryBudget {
    /** Part of the budget that is used: others count requests at slightly other times. */
    private static final double USED_PART = 0.7;

    private double tokens;

    /**
     * A request came.
     *
     * @param ratio retries per request that are permitted
     * @param allowance retries that are permitted beyond the ratio, all proxies together
     * @param proxies number of proxies that share the allowance
     */
    public void onRequest(double ratio, double allowance, int proxies) {
        double maximum = USED_PART * allowance / Math.max(1, proxies);
        tokens = Math.min(maximum, tokens + USED_PART * ratio);
    }

    /** Takes one retry from the budget; whether there was one. */
    public boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
