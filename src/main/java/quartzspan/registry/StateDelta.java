package quartzspan.registry;

/**
 * A step of the published state: it leads from the state at one committed index to that at another, and applies to nothing
 * else. Committed indexes form one line, so an index identifies a state.
 *
 * @param change see {@link PublishedState#with}
 */
public record StateDelta(long fromIndex, long toIndex, byte[] change) {}
