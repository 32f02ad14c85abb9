package org.fawnvale.platform;

import java.util.List;
import java.util.Optional;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.result.Result;

/** The part of the platform's object API that the daemons use. */
public interface ObjectStore {

  /** Expected version of an object that must not exist yet. */
  long ABSENT = 0;

  /**
   * Reads one object.
   *
   * @param name the object's name
   * @return the object, empty if it does not exist, or the reason why the read failed
   */
  Result<Optional<StoredObject>> get(String name);

  /**
   * Writes an object if it still has the expected version.
   *
   * @param name the object's name
   * @param expectedVersion the version that the object must have, or {@link #ABSENT}
   * @param value the new value, at most a megabyte
   * @return the outcome
   */
  WriteResult put(String name, long expectedVersion, byte[] value);

  /**
   * Waits for changes of objects.
   *
   * @param prefix only objects whose names start with this
   * @param since the revision up to which changes are known; 0 for all objects
   * @param waitMillis how long to wait if nothing has changed, milliseconds
   * @return the changes, empty if the wait ended without one, or the reason why the watch failed
   */
  Result<Changes> watch(String prefix, long since, long waitMillis);

  /**
   * Reads the list of live and leaving nodes of a data centre.
   *
   * @return the nodes, or the reason why the read failed
   */
  Result<List<Node>> nodes(String dataCentre);
}
