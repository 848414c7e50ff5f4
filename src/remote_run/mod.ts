/**
 * Runs of items that the leader of the stores hands to other store boxes while
 * it is busy. The leader still decides which item runs where and records its
 * result; the other box reads the stream and reports its events in batches.
 *
 * @example
 * ```ts
 * import * as remoteRuns from "../remote_run/mod.ts";
 * const runner = new remoteRuns.RemoteRunner(components);
 * await runner.run(options);
 * ```
 * @module
 */
export * from "./protocol.ts";
export * from "./remote_runner.ts";
export * from "./run_worker.ts";
