package quartzspan.misbehavior;

/**
 * What a program under test may use.
 *
 * @param heapMib the size of its heap, MiB
 * @param memoryMib the memory that its settings allow, MiB
 * @param fileDescriptors the file descriptors that its settings allow
 */
record Resources(int heapMib, int memoryMib, int fileDescriptors) {
    /** Little, so that a small crowd is enough to fill it. */
    static final Resources SMALL = new Resources(64, 256, 700);
    /** What a proxy of the deployments has. */
    static final Resources DEPLOYED_PROXY = new Resources(112, 430, 4_100);
}
