package org.fawnvale.platform;

/**
 * One object in the platform's store.
 *
 * @param name the object's name
 * @param version the object's version; rises with every change of the object
 * @param value the object's value
 */
public record StoredObject(String name, long version, byte[] value) {}
