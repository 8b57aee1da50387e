/**
 * The programs under clients that don't behave: crowds that stop within a request, send requests of legal size with very many header
 * lines, don't read their responses, or open more connections than there is room for. Each program runs as a process of its own on a
 * loopback address, with the options of its deployment but a smaller heap. The tests check nothing that depends on the speed of the
 * machine: that the process lives, that its memory and its file descriptors stay within its settings, and that an ordinary request is
 * answered.
 */
package quartzspan.misbehavior;
