package org.fawnvale.wire;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The messages that daemons exchange; one message fills one frame. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
@JsonSubTypes({
  @JsonSubTypes.Type(value = Message.Hello.class, name = "h"),
  @JsonSubTypes.Type(value = Message.Proof.class, name = "p"),
  @JsonSubTypes.Type(value = Message.Beat.class, name = "b"),
  @JsonSubTypes.Type(value = Message.Vouches.class, name = "v"),
  @JsonSubTypes.Type(value = Message.StateUpdate.class, name = "s"),
  @JsonSubTypes.Type(value = Message.StateRequest.class, name = "r"),
  @JsonSubTypes.Type(value = Message.ClaimRequest.class, name = "c"),
  @JsonSubTypes.Type(value = Message.ClaimReply.class, name = "d"),
  @JsonSubTypes.Type(value = Message.Forward.class, name = "f"),
  @JsonSubTypes.Type(value = Message.ForwardCancel.class, name = "x"),
  @JsonSubTypes.Type(value = Message.ForwardHead.class, name = "g"),
  @JsonSubTypes.Type(value = Message.ForwardChunk.class, name = "k"),
  @JsonSubTypes.Type(value = Message.ForwardEnd.class, name = "e")
})
public sealed interface Message {

  /**
   * The first message of each side.
   *
   * @param daemon the sender's name
   * @param dataCentre the sender's data centre
   * @param incarnation the sender's incarnation
   * @param nonce random bytes that the other side signs
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Hello(String daemon, String dataCentre, String incarnation, byte[] nonce)
      implements Message {}

  /**
   * The second message of each side.
   *
   * @param mac HMAC-SHA-256 over the other side's nonce and the sender's hello
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Proof(byte[] mac) implements Message {}

  /**
   * A heartbeat that also renews the readiness reports in the sender's last {@link Vouches}.
   *
   * @param stamp the sender's monotonic clock, nanoseconds
   * @param echo the receiver's newest stamp that arrived before the sender started the probes
   *     behind those reports; 0 if there is none
   * @param vouchVersion the version of the {@link Vouches} that this heartbeat renews
   * @param stateVersion the newest revision of the platform that the sender has applied
   * @param loads sum of the running and waiting requests of each node, in the order of {@link
   *     Vouches#nodes()}; empty in the first heartbeat on a link
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Beat(long stamp, long echo, long vouchVersion, long stateVersion, int[] loads)
      implements Message {}

  /**
   * Readiness reports: the state of all nodes that answer the sender's probes. They replace all
   * earlier reports of the sender.
   *
   * @param version rises with every change
   * @param lost nodes that stopped answering since the sender's previous message of this type; a
   *     node that is in neither list is now probed by another daemon
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Vouches(long version, List<Vouch> nodes, List<String> lost) implements Message {

    /** Copies the lists. */
    public Vouches {
      nodes = List.copyOf(nodes);
      lost = List.copyOf(lost);
    }
  }

  /**
   * The state of one node that answers the sender's probes.
   *
   * @param node the node's name
   * @param incarnation the node's incarnation
   * @param replica the replica it reported; null for none
   * @param generation the generation it reported
   * @param version the model version it reported; null for none
   * @param loaded the weights it holds; null for none
   * @param state the state it reported, by name
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Vouch(
      String node,
      String incarnation,
      @Nullable String replica,
      long generation,
      @Nullable String version,
      @Nullable String loaded,
      String state) {}

  /**
   * Objects of the platform that the receiver may not have yet.
   *
   * @param platformAgeMillis time since the platform last confirmed them, to the sender or to the
   *     daemon that the sender received them from; milliseconds
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record StateUpdate(List<StateObject> objects, long platformAgeMillis) implements Message {

    /** Copies the list. */
    public StateUpdate {
      objects = List.copyOf(objects);
    }
  }

  /**
   * One object of the platform.
   *
   * @param name the object's name
   * @param version the object's version; higher is newer
   * @param value the object's value
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record StateObject(String name, long version, byte[] value) {}

  /**
   * Requests all objects of which the sender has an older version or none.
   *
   * @param versions the version that the sender has of each object, by name
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record StateRequest(Map<String, Long> versions) implements Message {

    /** Copies the map. */
    public StateRequest {
      versions = Map.copyOf(versions);
    }
  }

  /**
   * Requests a claim of a key from the daemon that batches the key's slot.
   *
   * @param number identifies the request on this link
   * @param key the key's digest
   * @param owner owner of the attempt to run the request: incarnation and number
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ClaimRequest(long number, String key, String owner) implements Message {}

  /**
   * The response to a claim request.
   *
   * @param number the request's number
   * @param verdict result of the claim, as the name of an enum constant
   * @param owner current owner of the key; null if there is none
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ClaimReply(long number, String verdict, @Nullable String owner) implements Message {}

  /**
   * Forwards a caller's request to another daemon.
   *
   * @param number identifies the request on this link
   * @param workspace the workspace that the sender has authenticated
   * @param method the HTTP method
   * @param headers the request's headers
   * @param remainingMillis time remaining until the deadline, milliseconds
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record Forward(
      long number,
      String workspace,
      String method,
      String path,
      Map<String, String> headers,
      long remainingMillis,
      byte[] body)
      implements Message {

    /** Copies the map. */
    public Forward {
      headers = Map.copyOf(headers);
    }
  }

  /**
   * Cancels a forwarded request whose response is no longer needed.
   *
   * @param number the request's number
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ForwardCancel(long number) implements Message {}

  /**
   * The status and headers of the response to a forwarded request.
   *
   * @param number the request's number
   * @param status the HTTP status
   * @param headers the response's headers
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ForwardHead(long number, int status, Map<String, String> headers) implements Message {

    /** Copies the map. */
    public ForwardHead {
      headers = Map.copyOf(headers);
    }
  }

  /**
   * A part of the response body of a forwarded request.
   *
   * @param number the request's number
   * @param bytes the part's bytes
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ForwardChunk(long number, byte[] bytes) implements Message {}

  /**
   * The end of the response to a forwarded request.
   *
   * @param number the request's number
   * @param length total size of all parts, bytes; a body of any other size is truncated
   * @param whole true if the sender received the complete response
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  record ForwardEnd(long number, long length, boolean whole) implements Message {}
}
