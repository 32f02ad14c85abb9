/**
 * Blocking HTTP/1.1 connections on HttpCore whose heads, chunks and trailers end with their end
 * marks: what the end of a connection cuts is an error.
 */
@NullMarked
package org.fawnvale.http;

import org.jspecify.annotations.NullMarked;
