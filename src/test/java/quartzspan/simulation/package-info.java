/**
 * A simulated world that holds the whole control path: core machines, proxies, model servers, operators and clients, with the
 * real state machines. Time, network, disks, clocks and the scheduler of each process belong to it, so that a run is determined
 * by its seed.
 */
package quartzspan.simulation;
