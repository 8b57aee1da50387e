/**
 * Soak test: core machines and proxies as processes on loopback, simulated model servers, clients with persistent connections
 * and an operator, under overlapping series of signals, restarts and configuration changes. The recorded observations are checked
 * against rules afterwards.
 *
 * <p>The short run is part of the build. By hand: {@code mvn test -Dtest=SoakTest -Dsoak.seeds=1-50 -Dsoak.duration_s=60
 * -Dsoak.proxies=6}.
 */
package quartzspan.soak;
