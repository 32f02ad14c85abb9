package org.fawnvale.daemon.operate;

import java.util.List;
import org.fawnvale.core.model.Rollout;
import org.fawnvale.daemon.coordinate.Progress;
import org.jspecify.annotations.Nullable;

/**
 * The status that a daemon reports to operators; the component names are the JSON keys.
 *
 * @param daemon the daemon that answers
 * @param rollout the rollout, as this daemon knows it
 * @param bundle name of the bundle in force; null before the first one
 * @param confirmedMillisAgo milliseconds since the platform confirmed the daemon's copy of the
 *     state
 * @param holdsLease true when this daemon coordinates its data centre
 * @param liveDaemons daemons of the data centre that sent a message recently, and this daemon
 * @param linkedDataCentres data centres to which this daemon has links
 * @param progress replicas wanted, present and current, by data centre and role
 * @param replicas the replicas of the own data centre
 * @param stranded healthy nodes of the own data centre that are in no complete replica
 * @param limits descriptions of what this daemon cannot do at the moment
 */
public record Status(
    String daemon,
    String dataCentre,
    Rollout rollout,
    @Nullable String bundle,
    long confirmedMillisAgo,
    boolean holdsLease,
    List<String> liveDaemons,
    List<String> linkedDataCentres,
    List<Progress.Line> progress,
    List<ReplicaLine> replicas,
    List<String> stranded,
    List<String> limits) {

  /**
   * One replica.
   *
   * @param id its identifier
   * @param domain its fabric domain
   * @param version the model's full version
   * @param members its nodes
   * @param state {@code serving}, {@code draining}, or {@code waits for} and the member that is not
   *     ready
   */
  public record ReplicaLine(
      String id,
      String domain,
      String role,
      String version,
      long generation,
      List<String> members,
      String state) {}
}
