import type * as registry from "../registry/mod.ts";
import * as crashRecords from "./crash_record.ts";

/**
 * Assigns a server to work that runs without a grant. When a server crashes, one
 * of the pieces of work that it ran is the likely cause, and the others must not
 * share a server with it again. Boxes that know the same records and servers
 * assign different servers to them without a leader, while there are enough.
 *
 * @param records All known records.
 * @param own The record of the work.
 * @param servers Candidate servers in any order.
 * @returns The server; undefined if there is no candidate.
 */
export function assignServer(
  records: readonly crashRecords.CrashRecord[],
  own: crashRecords.CrashRecord,
  servers: readonly registry.LifetimeKey[],
): registry.LifetimeKey | undefined {
  const crashes = new Set(crashRecords.listConsecutiveCrashes(own));
  const suspects = records.filter((record) =>
    crashRecords.listConsecutiveCrashes(record).some((crash) =>
      crashes.has(crash)
    )
  );
  const rank = suspects.filter(({ digest }) => digest < own.digest).length;
  const ordered = servers.toSorted();
  return ordered[rank % Math.max(1, ordered.length)];
}
