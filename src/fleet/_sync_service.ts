import type * as crashRecords from "../crash_record/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as trafficConfig from "../traffic_config/mod.ts";
import type * as boxDirectories from "./box_directory.ts";
import type * as boxRecords from "./box_record.ts";
import type * as crashSyncs from "./_crash_sync.ts";
import * as stateDigest from "./_state_digest.ts";
import type * as protocol from "./protocol.ts";

/** Dependencies of a sync service. */
export interface SyncServiceOptions {
  readonly directory: boxDirectories.BoxDirectory;
  readonly servers: registry.ServerRegistry;
  readonly configuration: trafficConfig.ConfigurationHolder;
  readonly crashTable: crashRecords.CrashTable;
  readonly recordSync: crashSyncs.CrashSyncState;
  readonly getOwnRecord: () => boxRecords.BoxRecord;
}

/** Creates and answers the requests by which two boxes exchange their records. */
export class SyncService {
  readonly #options: SyncServiceOptions;

  constructor(options: SyncServiceOptions) {
    this.#options = options;
  }

  /** Creates a request for the given records; for all if the digests differ. */
  createRequest(ids?: readonly string[]): protocol.SyncRequest {
    const { configuration, getOwnRecord, crashTable, recordSync } =
      this.#options;
    return {
      record: getOwnRecord(),
      wanted: ids === undefined
        ? { kind: "differing", digest: this.#computeDigest() }
        : { kind: "named", ids },
      configurationVersion: configuration.getVersion(),
      crashes: crashTable.getContentHash(),
      knowsCrashes: recordSync.isComplete(),
    };
  }

  /**
   * Answers a sync request. Parts in which both boxes agree, by the digest,
   * version or key in the request, are left empty.
   */
  handleRequest(request: protocol.SyncRequest): protocol.SyncReply {
    const { configuration, crashTable, recordSync } = this.#options;
    const isNewer = configuration.getVersion() > request.configurationVersion;
    const hasSameCrashes = request.crashes === undefined ||
      request.crashes === crashTable.getContentHash();
    if (hasSameCrashes && request.knowsCrashes === true) recordSync.complete();
    return {
      ...this.#listRequested(request),
      configuration: isNewer ? configuration.getStored() : undefined,
      ...(hasSameCrashes ? {} : { crashes: crashTable.list() }),
      knowsCrashes: recordSync.isComplete(),
    };
  }

  #listRequested(
    { wanted }: protocol.SyncRequest,
  ): Pick<protocol.SyncReply, "boxes" | "servers"> {
    const boxes = this.#options.directory.listAlive();
    const servers = this.#options.servers.listAll();
    switch (wanted.kind) {
      case "differing": {
        const isSame = wanted.digest === this.#computeDigest();
        return isSame ? { boxes: [], servers: [] } : { boxes, servers };
      }
      case "named":
        return {
          boxes: boxes.filter((box) => wanted.ids.includes(box.id)),
          servers: servers.filter((server) => wanted.ids.includes(server.id)),
        };
    }
  }

  #computeDigest(): string {
    const { directory, servers } = this.#options;
    return stateDigest.computeStateDigest(
      directory.listAlive(),
      servers.listAll(),
    );
  }
}
