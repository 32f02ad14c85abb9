package org.fawnvale.serving.core.reach;

/** What a daemon knows of its own path to the upstreams. */
public interface UpstreamPath {

  /** A path that always works. */
  UpstreamPath SOUND =
      new UpstreamPath() {
        @Override
        public boolean isDoubtful() {
          return false;
        }

        @Override
        public boolean isLost() {
          return false;
        }

        @Override
        public boolean isHeardElsewhere() {
          return false;
        }
      };

  /**
   * Returns whether failures of upstreams may be failures of the path, so that they say nothing
   * about the upstreams.
   *
   * @return true while the path is in doubt or lost
   */
  boolean isDoubtful();

  /**
   * Returns whether this daemon reaches no upstream.
   *
   * @return true from the failed probes to the first answer
   */
  boolean isLost();

  /**
   * Returns whether another daemon hears upstreams while this one hears none, so that they don't
   * only pause.
   *
   * @return false also if it isn't known
   */
  boolean isHeardElsewhere();
}
