import type * as crashRecords from "../crash_record/mod.ts";
import * as registry from "../registry/mod.ts";
import type * as trafficConfig from "../traffic_config/mod.ts";
import * as boxRecords from "./box_record.ts";

/** Names of the RPC methods between boxes. */
export const METHODS = {
  news: "fleet.news",
  sync: "fleet.sync",
  readConfiguration: "fleet.readConfiguration",
} as const;

/** States that a box is still alive, without repeating its record. */
export interface BoxRefresh {
  readonly id: string;
  readonly sequence: number;
  /** Description of the record; a receiver with another one fetches the record. */
  readonly content: string;
}

/** States that a server process is still alive, without repeating its report. */
export interface ServerRefresh extends registry.Lifetime {
  readonly sequence: number;
  /** Description of the report; a receiver with another one fetches the report. */
  readonly content: string;
}

/**
 * State that one box sends to another. Messages may be lost or repeated;
 * merging them is idempotent.
 */
export interface GossipMessage {
  /** Id of the sender. */
  readonly from: string;
  /** Whether the sender subscribes to the receiver's relay, or renews this. */
  readonly wantsRelay: boolean;
  readonly boxes: readonly boxRecords.BoxRecord[];
  readonly servers: readonly registry.ServerReport[];
  readonly boxRefreshes: readonly BoxRefresh[];
  readonly serverRefreshes: readonly ServerRefresh[];
  /** Version of the sender's configuration; 0 for none. */
  readonly configurationVersion: number;
  /** The configuration itself, when it was just adopted; otherwise undefined. */
  readonly configuration: trafficConfig.StoredConfiguration | undefined;
  /** Work during which servers crashed; undefined from older versions. */
  readonly crashes?: readonly crashRecords.CrashRecord[];
  /**
   * Whether the receiver holds, with `crashes`, all records that the store boxes
   * keep; undefined if the sender can't tell.
   */
  readonly completesCrashes?: boolean;
}

/** Selects the records of a sync request. */
export type WantedRecords =
  /** All records, unless the digest equals that of the answering box. */
  | { readonly kind: "differing"; readonly digest: string }
  /** The boxes and servers with these ids. */
  | { readonly kind: "named"; readonly ids: readonly string[] };

/** Requests the records that the requester lacks. */
export interface SyncRequest {
  /** Record of the requester. */
  readonly record: boxRecords.BoxRecord;
  /** Boxes and servers whose records are requested. */
  readonly wanted: WantedRecords;
  /** Version of the requester's configuration; 0 for none. */
  readonly configurationVersion: number;
  /**
   * Description of the requester's crash records; undefined from older
   * versions, which get none in reply.
   */
  readonly crashes?: string;
  /**
   * Whether the requester holds all records that the store boxes keep; undefined
   * from older versions.
   */
  readonly knowsCrashes?: boolean;
}

/** Answer to a sync request. */
export interface SyncReply {
  readonly boxes: readonly boxRecords.BoxRecord[];
  readonly servers: readonly registry.ServerReport[];
  /** Undefined if the requester's is as new. */
  readonly configuration: trafficConfig.StoredConfiguration | undefined;
  /** All crash records; undefined if the requester holds the same. */
  readonly crashes?: readonly crashRecords.CrashRecord[];
  /**
   * Whether the answering box holds all records that the store boxes keep;
   * undefined from older versions.
   */
  readonly knowsCrashes?: boolean;
}

/**
 * Creates a message without records or refreshes.
 *
 * @param from Id of the sender.
 * @param configurationVersion Version of its configuration; 0 for none.
 * @returns The message.
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
 * Creates the refresh that stands in for an unchanged record.
 *
 * @param record The record.
 * @returns Its refresh.
 */
export function createBoxRefresh(record: boxRecords.BoxRecord): BoxRefresh {
  const { id, sequence } = record;
  return { id, sequence, content: boxRecords.describeContent(record) };
}

/**
 * Creates the refresh that stands in for an unchanged report.
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
