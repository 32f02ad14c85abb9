package org.fawnvale.serving.spi;

import java.io.IOException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.fawnvale.serving.core.formation.GroupOrder;
import org.fawnvale.serving.core.formation.NodeReport;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeResponse;
import org.fawnvale.serving.core.model.RequestSize;
import org.fawnvale.serving.core.quarantine.StoredQuarantineRecord;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;

/** Names, formats and calls of a platform. An adapter decides nothing. */
public interface Platform {

  /** Kinds of objects that the platform itself keeps in its store. */
  enum Kind {
    /** The operator's configuration. */
    CONFIGURATION,
    /** The upstream nodes. */
    NODES,
    /** Requests that end the nodes that run them: the only objects that are the system's own. */
    QUARANTINE
  }

  /**
   * The names of headers.
   *
   * @return the names
   */
  HeaderNames headers();

  /**
   * Where the balancer asks whether the daemon is ready.
   *
   * @return the path
   */
  String readyPath();

  /**
   * Reads the key from the header that carries it.
   *
   * @param headerValue the value of the header {@code Authorization}
   * @return the key; null when there is none
   */
  @org.jspecify.annotations.Nullable
  String key(String headerValue);

  /**
   * Lists the objects of a kind.
   *
   * @param kind the kind
   * @param afterName where the page begins; empty for the first
   * @param mayBeOld whether a list that is seconds old will do, which is cheaper
   * @return the call
   */
  Call list(Kind kind, String afterName, boolean allowStale);

  /**
   * Waits for changes of a kind.
   *
   * @param kind the kind
   * @param place the place after which changes are told
   * @param waitMillis how long the store may wait for one
   * @return the call
   */
  Call watch(Kind kind, StorePosition place, int waitMillis);

  /**
   * Reads from an answer of the store which of its histories it was given in.
   *
   * @param head the head of the answer
   * @return the era; {@link StoreEra#UNTOLD} when the answer tells none that can be read
   */
  StoreEra era(HttpResponse head);

  /**
   * Reads a list or the events of a watch of nodes.
   *
   * @param era the era in which the answer was given
   * @param body the answer's body
   * @return the page
   * @throws IOException when the body can't be read
   */
  Page<Node> nodes(StoreEra era, byte[] body) throws IOException;

  /**
   * Reads a list or the events of a watch of the configuration.
   *
   * @param era the era in which the answer was given
   * @param body the answer's body
   * @return the page
   * @throws IOException when the body can't be read
   */
  Page<Configuration> configurations(StoreEra era, byte[] body) throws IOException;

  /**
   * Reads a list of requests that end nodes.
   *
   * @param era the era in which the answer was given
   * @param body the answer's body
   * @return the page
   * @throws IOException when the body can't be read
   */
  Page<StoredQuarantineRecord> keptRecords(StoreEra era, byte[] body) throws IOException;

  /**
   * The call that keeps a request that ends nodes, unless it is kept already.
   *
   * @param kept the record
   * @return the call
   */
  Call create(StoredQuarantineRecord kept);

  /**
   * The call that removes one of the system's own objects.
   *
   * @param kind its kind
   * @param name its name
   * @return the call
   */
  Call remove(Kind kind, String name);

  /**
   * The call that gives a node an order or asks for its report.
   *
   * @param order the order
   * @return the call
   */
  Call order(GroupOrder order);

  /**
   * Reads the answer to an order.
   *
   * @param status the status of the answer
   * @return what came of the order
   */
  GroupOrder.Outcome outcome(int status);

  /**
   * Reads a node's report.
   *
   * @param body the answer's body
   * @return the report
   * @throws IOException when the body can't be read
   */
  NodeReport report(byte[] body) throws IOException;

  /**
   * Reads how much work a request says it is.
   *
   * @param request the head of the request
   * @return its size; {@link RequestSize#UNKNOWN} when it says nothing that can be read
   */
  RequestSize size(HttpRequest request);

  /**
   * Reads what a node says of itself and of the request with the head of an answer.
   *
   * @param head the head of the answer
   * @return what it says; what can't be read counts as not said
   */
  NodeResponse answer(HttpResponse head);

  /**
   * Names in answers of nodes and the store that this version does not read.
   *
   * @return how many different ones were seen, as far as they are remembered
   */
  int unrecognizedNames();
}
