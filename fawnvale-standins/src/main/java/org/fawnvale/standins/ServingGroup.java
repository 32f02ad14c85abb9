package org.fawnvale.standins;

import java.util.List;

/**
 * A group whose head is open.
 *
 * @param name the group's name
 * @param epoch the group's epoch
 * @param members the members' ids, the head first
 */
public record ServingGroup(String name, long epoch, List<String> members) {}
