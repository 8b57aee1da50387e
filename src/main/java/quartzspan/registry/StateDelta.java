package quartzspan.registry;

/**
 * A delta of the published state from one committed index to a later one. It applies only to the state at {@code fromIndex};
 * committed indexes are linear, so an index identifies a state.
 *
 * @param change see {@link PublishedState#withDelta}
 */
public record StateDelta(long fromIndex, long toIndex, byte[] change) {}
