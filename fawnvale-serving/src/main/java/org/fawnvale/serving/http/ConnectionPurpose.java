package org.fawnvale.serving.http;

/**
 * What a connection is used for. An answer that comes too late, or once too often, is taken for the
 * answer to a later request on its connection where nothing in it tells them apart.
 */
enum ConnectionPurpose {
  /** Requests whose answers name them. */
  SHARED,
  /** One request that no other one precedes or follows, such as an order. */
  SINGLE,
  /** Queries for reports alone: an answer that is not the own one is a slightly older report. */
  REPORTS
}
