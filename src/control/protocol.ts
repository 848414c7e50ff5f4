import type * as audit from "../audit_trail/mod.ts";
import type * as backendServers from "../backend_server/mod.ts";
import type * as accounts from "../client_account/mod.ts";
import type * as consensus from "../consensus/mod.ts";
import type * as models from "../model_version/mod.ts";
import type * as replicated from "../replicated_state/mod.ts";
import type * as results from "../results/mod.ts";
import type * as templates from "../rollout_template/mod.ts";

/** Names of the JSON-RPC methods between boxes. */
export const METHODS = {
  consensus: "consensus.message",
  sync: "control.sync",
  propose: "control.propose",
  awaitInForce: "control.awaitInForce",
  readAudit: "control.readAudit",
  readStatus: "control.readStatus",
  trainer: "trainer.call",
} as const;

/** A consensus message with the id of its sender. */
export interface ConsensusEnvelope {
  readonly from: string;
  readonly message: consensus.DriverMessage;
}

/** A box as listed in the membership. */
export interface BoxView {
  readonly id: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly callerPort: number;
  readonly peerPort: number;
  readonly isDraining: boolean;
}

/** Request for configuration and membership changes; it renews the lease. */
export interface SyncRequest {
  readonly box: BoxView;
  /** Configuration revision known to the box. */
  readonly revision: number;
  /** Membership version known to the box. */
  readonly membershipVersion: string;
}

/** Configuration values that are newer than a revision. */
export interface ConfigChange {
  readonly revision: number;
  readonly accounts: readonly accounts.ClientAccount[];
  readonly templates: readonly templates.RolloutTemplate[];
  readonly models: readonly models.ModelVersion[];
}

/** Boxes and backend servers of the deployment. */
export interface Membership {
  readonly version: string;
  readonly boxes: readonly BoxView[];
  readonly servers: readonly backendServers.BackendServer[];
}

/** Reply of a replica that is not the leader. */
export interface NotLeader {
  readonly kind: "notLeader";
  /** Id of the leader, if known. */
  readonly leader: string | undefined;
}

/** Reply to a sync request. */
export type SyncReply = NotLeader | {
  readonly kind: "synced";
  readonly term: number;
  /** Duration of the lease, counted from sending the request, in ms. */
  readonly leaseMs: number;
  readonly config: ConfigChange;
  /** Undefined if the box already knows the newest version. */
  readonly membership: Membership | undefined;
};

/** Request to commit a command. */
export interface ProposeRequest {
  readonly command: replicated.Command;
  readonly timeoutMs: number;
}

/** Reply to a proposed command. */
export type ProposeReply = NotLeader | {
  readonly kind: "proposed";
  readonly result: results.Result<replicated.CommandAnswer>;
};

/** Request to wait until a revision is in force on all boxes. */
export interface InForceRequest {
  readonly revision: number;
  readonly timeoutMs: number;
}

/** Reply to a wait for a revision; false in `isInForce` means a timeout. */
export type InForceReply = NotLeader | {
  readonly kind: "waited";
  readonly isInForce: boolean;
};

/** Request for audit records. */
export interface AuditRequest {
  readonly filter: audit.AuditFilter;
  /** Maximum number of records; the newest are returned. */
  readonly limit: number;
}

/** Audit records, oldest first. */
export type AuditReply = NotLeader | {
  readonly kind: "audit";
  readonly records: readonly audit.AuditRecord[];
};

/** Status of one box as known to the leader. */
export interface BoxStatus extends BoxView {
  /** Configuration revision that the box confirmed last. */
  readonly revision: number;
  /** Remaining time of the lease, in ms; negative once it has expired. */
  readonly leaseLeftMs: number;
}

/** Status of the deployment. */
export type StatusReply = NotLeader | {
  readonly kind: "status";
  readonly leader: string;
  readonly revision: number;
  readonly replica: consensus.ReplicaStatus;
  readonly boxes: readonly BoxStatus[];
  readonly servers: readonly backendServers.BackendServer[];
  readonly models: readonly models.ModelVersion[];
  readonly roles: readonly backendServers.RoleSetting[];
};
