package org.fawnvale.daemon.state;

/** Names of the objects in the platform's object store. */
public final class ObjectNames {

  /** Prefix of the objects that every daemon keeps a copy of. */
  public static final String SHARED = "config/";

  /** The rollout, which names the latest and the accepted revision of the bundles. */
  public static final String ROLLOUT = SHARED + "rollout";

  /** Prefix of the bundles. */
  public static final String BUNDLES = SHARED + "bundle/";

  /** Prefix of the fabric domains. */
  public static final String DOMAINS = SHARED + "domain/";

  /** Prefix of the lists of registered daemons, one list for each data centre. */
  public static final String DAEMONS = SHARED + "daemons/";

  /** Prefix of the lists of nodes; daemons exchange them but do not write them to the store. */
  public static final String NODES = "nodes/";

  private ObjectNames() {}

  /**
   * Returns the object name of a bundle.
   *
   * @param revision the bundle's revision
   */
  public static String bundle(long revision) {
    return BUNDLES + revision;
  }

  /**
   * Returns the object name of a fabric domain.
   *
   * @param dataCentre the domain's data centre
   * @param domain the domain's name
   */
  public static String domain(String dataCentre, String domain) {
    return DOMAINS + dataCentre + "/" + domain;
  }

  /** Returns the object name of a data centre's list of registered daemons. */
  public static String daemons(String dataCentre) {
    return DAEMONS + dataCentre;
  }

  /** Returns the object name of the lease for which a data centre's daemons compete. */
  public static String lease(String dataCentre) {
    return "lease/" + dataCentre;
  }

  /**
   * Returns the object name of a slot of claimed request keys.
   *
   * @param slot the slot's number
   */
  public static String claims(int slot) {
    return "claims/" + slot;
  }

  /** Returns the object name of a data centre's list of nodes. */
  public static String nodes(String dataCentre) {
    return NODES + dataCentre;
  }
}
