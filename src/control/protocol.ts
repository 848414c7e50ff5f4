import type * as audit from "../audit_trail/mod.ts";
import type * as backends from "../backend_server/mod.ts";
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

/** A message between replicas, with its sender. */
export interface ConsensusEnvelope {
  readonly from: string;
  readonly message: consensus.DriverMessage;
}

/** A box as others see it. */
export interface BoxView {
  readonly id: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly callerPort: number;
  readonly peerPort: number;
  readonly isDraining: boolean;
}

/** A box asks for what is new; this renews its lease. */
export interface SyncRequest {
  readonly box: BoxView;
  /** Configuration revision that the box holds. */
  readonly revision: number;
  /** Membership version that the box holds. */
  readonly membershipVersion: string;
}

/** Configuration newer than a revision. */
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
  readonly servers: readonly backends.BackendServer[];
}

/** A replica that does not lead says who does. */
export interface NotLeader {
  readonly kind: "notLeader";
  readonly leader: string | undefined;
}

/** The leader's answer to a sync. */
export type SyncReply = NotLeader | {
  readonly kind: "synced";
  readonly term: number;
  /** Length of the lease, from when the request was sent, in ms. */
  readonly leaseMs: number;
  readonly config: ConfigChange;
  /** Undefined when the box holds the newest. */
  readonly membership: Membership | undefined;
};

/** Asks the leader to accept a command. */
export interface ProposeRequest {
  readonly command: replicated.Command;
  readonly timeoutMs: number;
}

/** The leader's answer to a command. */
export type ProposeReply = NotLeader | {
  readonly kind: "proposed";
  readonly result: results.Result<replicated.CommandAnswer>;
};

/** Asks when a revision is in force on every box. */
export interface InForceRequest {
  readonly revision: number;
  readonly timeoutMs: number;
}

/** The leader's answer about a revision. */
export type InForceReply = NotLeader | {
  readonly kind: "waited";
  readonly isInForce: boolean;
};

/** Asks for audit records. */
export interface AuditRequest {
  readonly filter: audit.AuditFilter;
  readonly limit: number;
}

/** Audit records, oldest first. */
export type AuditReply = NotLeader | {
  readonly kind: "audit";
  readonly records: readonly audit.AuditRecord[];
};

/** How the leader sees one box. */
export interface BoxStatus extends BoxView {
  /** Configuration revision in force on the box. */
  readonly revision: number;
  /** Time left of its lease, in ms; negative once it ran out. */
  readonly leaseLeftMs: number;
}

/** The leader's view of the deployment. */
export type StatusReply = NotLeader | {
  readonly kind: "status";
  readonly leader: string;
  readonly revision: number;
  readonly replica: consensus.ReplicaStatus;
  readonly boxes: readonly BoxStatus[];
  readonly servers: readonly backends.BackendServer[];
  readonly models: readonly models.ModelVersion[];
  readonly roles: readonly backends.RoleSetting[];
};
