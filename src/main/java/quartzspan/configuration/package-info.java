/**
 * The operators' configuration: model, reader, patches.
 *
 * <p>Values are immutable. May import {@code common}.
 */
package quartzspan.configuration;
