import type * as crashRecords from "../crash_record/mod.ts";
import * as registry from "../registry/mod.ts";
import type * as trafficConfig from "../traffic_config/mod.ts";
import * as boxRecords from "./box_record.ts";

/** Names of the calls between boxes. */
export const METHODS = {
  news: "fleet.news",
  sync: "fleet.sync",
  readConfiguration: "fleet.readConfiguration",
} as const;

/** Says that a box still runs, without repeating its record. */
export interface BoxRefresh {
  readonly id: string;
  readonly sequence: number;
  /** Description of the record; another one must be fetched. */
  readonly content: string;
}

/** Says that a start of a server still runs, without repeating its report. */
export interface ServerRefresh extends registry.Lifetime {
  readonly sequence: number;
  /** Description of the report; another one must be fetched. */
  readonly content: string;
}

/** What one box tells another; every part may be lost and repeated. */
export interface GossipMessage {
  readonly from: string;
  /** Whether the sender wants to be told of refreshes from now on. */
  readonly wantsRelay: boolean;
  readonly boxes: readonly boxRecords.BoxRecord[];
  readonly servers: readonly registry.ServerReport[];
  readonly boxRefreshes: readonly BoxRefresh[];
  readonly serverRefreshes: readonly ServerRefresh[];
  /** Version of the configuration that the sender holds; 0 for none. */
  readonly configurationVersion: number;
  /** The configuration itself, where it is new. */
  readonly configuration: trafficConfig.StoredConfiguration | undefined;
  /** Work under which servers ended; undefined from a version before. */
  readonly crashes?: readonly crashRecords.CrashRecord[];
}

/** Records that one box asks another for. */
export type WantedRecords =
  /** Everything, unless the asker's digest of what it knows is the same. */
  | { readonly kind: "differing"; readonly digest: string }
  | { readonly kind: "named"; readonly ids: readonly string[] };

/** Asks for what a box knows and the asker does not. */
export interface SyncRequest {
  readonly record: boxRecords.BoxRecord;
  /** What to tell of. */
  readonly wanted: WantedRecords;
  /** Version of the configuration that the asker holds; 0 for none. */
  readonly configurationVersion: number;
  /** Description of the work under which servers ended, as the asker knows it. */
  readonly crashes?: string;
}

/** What a box knows and the asker does not. */
export interface SyncReply {
  readonly boxes: readonly boxRecords.BoxRecord[];
  readonly servers: readonly registry.ServerReport[];
  /** Undefined where the asker's is as new. */
  readonly configuration: trafficConfig.StoredConfiguration | undefined;
  /** Undefined where the asker knows the same. */
  readonly crashes?: readonly crashRecords.CrashRecord[];
}

/**
 * Makes news that say nothing yet.
 *
 * @param from Id of the sender.
 * @param configurationVersion Version that it holds.
 * @returns Empty news.
 */
export function createGossipMessage(
  from: string,
  configurationVersion: number,
): GossipMessage {
  return {
    from,
    wantsRelay: false,
    boxes: [],
    servers: [],
    boxRefreshes: [],
    serverRefreshes: [],
    configurationVersion,
    configuration: undefined,
  };
}

/**
 * Shortens a record that says nothing new.
 *
 * @param record The record.
 * @returns Its refresh.
 */
export function createBoxRefresh(record: boxRecords.BoxRecord): BoxRefresh {
  const { id, sequence } = record;
  return { id, sequence, content: boxRecords.describeContent(record) };
}

/**
 * Shortens a report that says nothing new.
 *
 * @param server The report.
 * @returns Its refresh.
 */
export function createServerRefresh(
  server: registry.ServerReport,
): ServerRefresh {
  const { id, born, sequence } = server;
  return { id, born, sequence, content: registry.createContentKey(server) };
}
