package org.fawnvale.serving.core.formation;

import java.util.List;
import org.fawnvale.serving.core.model.Membership;
import org.jspecify.annotations.Nullable;

/**
 * A node's report of itself.
 *
 * @param model the model of its group; null when it has none
 * @param staged the models on its host
 * @param membership its place in a group; null when it has none
 * @param orders the orders that it has taken in this life
 */
public record NodeReport(
    @Nullable String model, List<String> staged, @Nullable Membership membership, long orders) {}
