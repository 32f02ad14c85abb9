package org.fawnvale.standins;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/** The requests that crash each worker that runs them, by body or by a part of their prompts. */
public final class CrashingRequests {

  private final Set<String> bodies = ConcurrentHashMap.newKeySet();
  private final Set<String> parts = ConcurrentHashMap.newKeySet();

  void addBody(String body) {
    bodies.add(body);
  }

  boolean hasBody(String body) {
    return bodies.contains(body);
  }

  /**
   * Makes a part crash workers, unless it is the last one of a prompt.
   *
   * @param part the id of the part
   */
  public void addPart(String part) {
    parts.add(part);
  }

  /**
   * Ends {@link #addPart}.
   *
   * @param part the id of the part
   */
  public void removePart(String part) {
    parts.remove(part);
  }

  /**
   * Returns how many parts crash workers now.
   *
   * @return their number
   */
  public int partCount() {
    return parts.size();
  }

  /** Returns whether a part of a prompt, but for the last one, crashes workers. */
  boolean hasPartOf(@Nullable String prompt) {
    if (parts.isEmpty() || prompt == null) {
      return false;
    }
    String[] each = prompt.split(",");
    for (int index = 0; index < each.length - 1; index++) {
      if (parts.contains(each[index].split(":")[0])) {
        return true;
      }
    }
    return false;
  }
}
