package org.fawnvale.serving.spi;

import java.io.IOException;
import java.util.List;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.fawnvale.serving.core.formation.GroupOrder;
import org.fawnvale.serving.core.formation.NodeReport;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeResponse;
import org.fawnvale.serving.core.model.RequestSize;
import org.fawnvale.serving.core.peer.DaemonRecord;
import org.fawnvale.serving.core.quarantine.StoredQuarantineRecord;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;

/** The names, formats and HTTP calls of a platform. Adapters implement it and make no decisions. */
public interface Platform {

  /** Kinds of objects in the platform's store. */
  enum Kind {
    /** The operator's configuration. */
    CONFIGURATION,
    /** The upstream nodes. */
    NODES,
    /** Requests that crash nodes; created by Fawnvale itself. */
    QUARANTINE,
    /** The daemons of the fleet; created by Fawnvale itself. */
    DAEMONS,
    /**
     * Data centres that the operator has evacuated; the name of an object is that of the data
     * centre. Not every platform has them.
     */
    EVACUATIONS
  }

  /**
   * Returns the names of the platform's headers.
   *
   * @return header names
   */
  HeaderNames headers();

  /** Returns the path of the readiness check that the load balancer calls. */
  String readyPath();

  /**
   * Extracts the caller's key.
   *
   * @param headerValue value of the header {@code Authorization}
   * @return key; null if the value contains none
   */
  @org.jspecify.annotations.Nullable
  String key(String headerValue);

  /**
   * Creates the call that lists the objects of a kind.
   *
   * @param kind kind of the objects
   * @param afterName name after which the page begins; empty for the first page
   * @param allowStale whether the store may return a list that is seconds old, which is cheaper
   */
  Call list(Kind kind, String afterName, boolean allowStale);

  /**
   * Creates the call that waits for changes of a kind.
   *
   * @param kind kind of the objects
   * @param place position in the history after which changes are reported
   * @param waitMillis time that the store may wait for a change, in milliseconds
   */
  Call watch(Kind kind, StorePosition place, int waitMillis);

  /**
   * Reads the era of the store from a response.
   *
   * @param head head of the response
   * @return era; {@link StoreEra#UNKNOWN} if the response has none or a malformed one
   */
  StoreEra era(HttpResponse head);

  /**
   * Reads a list of nodes or the events of a watch.
   *
   * @param era era of the response
   * @param body body of the response
   * @return page
   * @throws IOException if the body is malformed
   */
  Page<Node> nodes(StoreEra era, byte[] body) throws IOException;

  /**
   * Reads a list of configurations or the events of a watch.
   *
   * @param era era of the response
   * @param body body of the response
   * @return page
   * @throws IOException if the body is malformed
   */
  Page<Configuration> configurations(StoreEra era, byte[] body) throws IOException;

  /**
   * Reads a list of stored records of requests that crash nodes.
   *
   * @param era era of the response
   * @param body body of the response
   * @return page
   * @throws IOException if the body is malformed
   */
  Page<StoredQuarantineRecord> keptRecords(StoreEra era, byte[] body) throws IOException;

  /**
   * Reads a list of evacuated data centres or the events of a watch.
   *
   * @param era era of the response
   * @param body body of the response
   * @return page with the names of the data centres
   * @throws IOException if the body is malformed
   */
  Page<String> evacuations(StoreEra era, byte[] body) throws IOException;

  /**
   * Creates the call that stores the record of a request that crashes nodes, unless it is stored
   * already.
   *
   * @param kept record to store
   */
  Call create(StoredQuarantineRecord kept);

  /**
   * Reads a list of the records of daemons.
   *
   * @param era era of the response
   * @param body body of the response
   * @return page
   * @throws IOException if the body is malformed
   */
  Page<DaemonRecord> daemons(StoreEra era, byte[] body) throws IOException;

  /**
   * Creates the call that stores the record of a daemon, unless it is stored already.
   *
   * @param daemon record to store
   */
  Call create(DaemonRecord daemon);

  /**
   * Creates the call that deletes an object that Fawnvale created.
   *
   * @param kind kind of the object
   * @param name name of the object
   */
  Call remove(Kind kind, String name);

  /**
   * Creates the call that sends an order to a node or requests its report.
   *
   * @param order order to send
   */
  Call order(GroupOrder order);

  /**
   * Maps the status of the response to an order to an outcome.
   *
   * @param status HTTP status
   */
  GroupOrder.Outcome outcome(int status);

  /**
   * Reads a node's report.
   *
   * @param body body of the response
   * @throws IOException if the body is malformed
   */
  NodeReport report(byte[] body) throws IOException;

  /**
   * Reads the size that a request states in its headers.
   *
   * @param request head of the request
   * @return size; {@link RequestSize#UNKNOWN} if the headers are absent or malformed
   */
  RequestSize size(HttpRequest request);

  /**
   * Reads the parts of a request's prompt that other requests may share.
   *
   * @param request head of the request
   * @return ids of all parts but the last one, which belongs to the request itself, in order; empty
   *     if the header is absent
   */
  List<String> sharedPromptParts(HttpRequest request);

  /**
   * Reads what the headers of a node's response signal about the node and the request.
   *
   * @param head head of the response
   * @return signals; a malformed header counts as absent
   */
  NodeResponse answer(HttpResponse head);

  /**
   * Counts the distinct names in responses of nodes and the store that this version does not
   * recognise.
   *
   * @return number of names, up to an upper limit of the adapter
   */
  int unrecognizedNames();
}
