package org.fawnvale.core.model;

/**
 * The registration of a daemon for discovery by other daemons.
 *
 * @param name the name of the daemon, unique across all data centres
 * @param dataCentre the data centre of the daemon
 * @param address the address for other daemons, as IP:port
 */
public record Registration(String name, String dataCentre, String address) {}
