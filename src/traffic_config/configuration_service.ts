import type * as replicaGroups from "../replica_group/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import type * as configurations from "./configuration.ts";
import type * as configurationMachines from "./configuration_machine.ts";

/** Commit timeout in ms; below the operators' retry interval. */
const COMMIT_TIMEOUT_MS = 850;

/** RPC method names of the calls to the core boxes' leader. */
export const METHODS = {
  put: "configuration.put",
  read: "configuration.read",
} as const;

/** Request to store a new configuration. */
export interface PutRequest {
  readonly stored: configurations.StoredConfiguration;
}

/** Reply to a `PutRequest`, with the version stored afterwards. */
export type PutReply =
  | replicaGroups.NotLeader
  | replicaGroups.UnconfirmedChange
  | { readonly kind: "done"; readonly version: number };

/** Reply to a read, with the leader's newest configuration. */
export type ReadReply =
  | replicaGroups.NotLeader
  | {
    readonly kind: "done";
    readonly stored: configurations.StoredConfiguration | undefined;
  };

/** Dependencies of a `ConfigurationService`. */
export interface ConfigurationServiceOptions {
  readonly server: rpc.MethodRegistry;
  readonly group: replicaGroups.ReplicaGroup;
  readonly machine: configurationMachines.ConfigurationMachine;
}

/** Serves reads and updates of the configuration while this core box leads. */
export class ConfigurationService {
  readonly #options: ConfigurationServiceOptions;

  constructor(options: ConfigurationServiceOptions) {
    this.#options = options;
    options.server.add(
      METHODS.put,
      (request: PutRequest) => this.#put(request),
    );
    options.server.add(METHODS.read, () => this.#read());
  }

  async #put(request: PutRequest): Promise<PutReply> {
    const { group } = this.#options;
    if (!group.hasAuthority()) return group.createNotLeader();
    const command: configurationMachines.PutConfiguration = {
      kind: "putConfiguration",
      stored: request.stored,
    };
    const result = await group.propose<configurationMachines.PutResult>(
      command,
      COMMIT_TIMEOUT_MS,
    );
    if (result.kind === "ok") {
      return { kind: "done", version: result.value.version };
    }
    if (result.failure.code === "notLeader") return group.createNotLeader();
    return { kind: "unsure", mayHaveRun: result.failure.outcome !== "notRun" };
  }

  #read(): ReadReply {
    const { group, machine } = this.#options;
    if (!group.hasAuthority()) return group.createNotLeader();
    return { kind: "done", stored: machine.getStored() };
  }
}
