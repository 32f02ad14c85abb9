package org.fawnvale.core.model;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The phases of a request that the replicas of a role process. */
public enum RoleKind {
  /** Prefill and decode. */
  @JsonProperty("combined")
  COMBINED,
  /** Prefill only; the KV cache is then exported. */
  @JsonProperty("prefill")
  PREFILL,
  /** Decode only, with an imported KV cache. */
  @JsonProperty("decode")
  DECODE
}
