package quartzspan.registry;

/**
 * How long ago a target version of weights was acknowledged, as told to another process.
 *
 * @param ageMs upper bound of the time since the acknowledgement, in milliseconds at the time of sending
 */
public record TargetAge(String model, long version, long ageMs) {}
