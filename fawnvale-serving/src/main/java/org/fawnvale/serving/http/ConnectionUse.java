package org.fawnvale.serving.http;

/**
 * The connection of one request.
 *
 * @param connection names the connection within this process
 * @param number how many requests the connection has carried, with this one
 */
public record ConnectionUse(String connection, int number) {}
