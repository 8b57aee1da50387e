/**
 * The configuration that operators submit: model, reader and patches.
 *
 * <p>Values are immutable. May import {@code common} only.
 */
package quartzspan.configuration;
