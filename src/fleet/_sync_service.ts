import type * as crashRecords from "../crash_record/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as trafficConfig from "../traffic_config/mod.ts";
import type * as boxDirectories from "./box_directory.ts";
import type * as boxRecords from "./box_record.ts";
import * as stateDigest from "./_state_digest.ts";
import type * as protocol from "./protocol.ts";

/** What a sync desk tells of. */
export interface SyncServiceOptions {
  readonly directory: boxDirectories.BoxDirectory;
  readonly servers: registry.ServerRegistry;
  readonly configuration: trafficConfig.ConfigurationHolder;
  readonly crashTable: crashRecords.CrashTable;
  readonly getOwnRecord: () => boxRecords.BoxRecord;
}

/** Asks and answers what two boxes know differently. */
export class SyncService {
  readonly #options: SyncServiceOptions;

  constructor(options: SyncServiceOptions) {
    this.#options = options;
  }

  /** Creates the request for the named records, or for all that differs. */
  createRequest(ids?: readonly string[]): protocol.SyncRequest {
    const { configuration, getOwnRecord: getOwnRecord, crashTable } =
      this.#options;
    return {
      record: getOwnRecord(),
      wanted: ids === undefined
        ? { kind: "differing", digest: this.#computeDigest() }
        : { kind: "named", ids },
      configurationVersion: configuration.getVersion(),
      crashes: crashTable.getContentHash(),
    };
  }

  /** Answers with what the asker lacks; nothing where it knows the same. */
  handleRequest(request: protocol.SyncRequest): protocol.SyncReply {
    const { configuration, crashTable } = this.#options;
    const isNewer = configuration.getVersion() > request.configurationVersion;
    const hasSameCrashes = request.crashes === undefined ||
      request.crashes === crashTable.getContentHash();
    return {
      ...this.#listRequested(request),
      configuration: isNewer ? configuration.getStored() : undefined,
      ...(hasSameCrashes ? {} : { crashes: crashTable.list() }),
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
