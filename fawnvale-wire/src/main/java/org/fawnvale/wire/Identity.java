package org.fawnvale.wire;

/**
 * The identity of a daemon at one end of a link.
 *
 * @param daemon the daemon's name
 * @param dataCentre the daemon's data centre
 * @param incarnation unique id of this start of the daemon
 */
public record Identity(String daemon, String dataCentre, String incarnation) {}
