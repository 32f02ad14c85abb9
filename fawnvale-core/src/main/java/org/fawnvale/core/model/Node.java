package org.fawnvale.core.model;

import org.jspecify.annotations.Nullable;

/**
 * An upstream node, as the platform lists it.
 *
 * @param name the name of the node, unique across all data centres
 * @param dataCentre the data centre of the node
 * @param domain the fabric domain of the node
 * @param address the address of its engine or service, as IP:port
 * @param path path prefix of its engine or service; empty for none
 * @param service the plain service of the node; null for a node with a model engine
 * @param leaving true when the platform is about to remove the node
 */
public record Node(
    String name,
    String dataCentre,
    String domain,
    String address,
    String path,
    @Nullable String service,
    boolean leaving) {}
