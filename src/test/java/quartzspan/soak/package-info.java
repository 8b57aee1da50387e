/**
 * A soak: the fleet's programs as processes on loopback, stand-in model servers, clients that keep their connections, and
 * operators, under signals, restarts and changes that come in series and overlap. What was seen is held against rules afterwards.
 *
 * <p>The short run is part of the build. By hand: {@code mvn test -Dtest=SoakTest -Dsoak.seeds=1-50 -Dsoak.duration_s=60
 * -Dsoak.proxies=6}.
 */
package quartzspan.soak;
