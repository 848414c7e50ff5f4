import type * as replicaGroups from "../replica_group/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import type * as configurations from "./configuration.ts";
import type * as configurationMachines from "./configuration_machine.ts";

/** Longest wait for a commit, in ms; operators try again after a second. */
const COMMIT_TIMEOUT_MS = 850;

/** Names of the calls to the leader of the core boxes. */
export const METHODS = {
  put: "configuration.put",
  read: "configuration.read",
} as const;

/** Asks to put a configuration in force. */
export interface PutRequest {
  readonly stored: configurations.StoredConfiguration;
}

/** What the leader answers. */
export type PutReply =
  | replicaGroups.NotLeader
  | replicaGroups.Unsure
  | { readonly kind: "done"; readonly version: number };

/** The newest configuration, from the leader. */
export type ReadReply =
  | replicaGroups.NotLeader
  | {
    readonly kind: "done";
    readonly stored: configurations.StoredConfiguration | undefined;
  };

/** What the configuration service needs. */
export interface ConfigurationServiceOptions {
  readonly server: rpc.MethodTable;
  readonly group: replicaGroups.ReplicaGroup;
  readonly machine: configurationMachines.ConfigurationMachine;
}

/** Answers for the configuration while this core box leads. */
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
