import * as immutable from "immutable";
import type * as audit from "../audit_trail/mod.ts";
import type * as backendServers from "../backend_server/mod.ts";
import type * as claims from "../call_claim/mod.ts";
import type * as accounts from "../client_account/mod.ts";
import type * as models from "../model_version/mod.ts";
import type * as steps from "../rollout_step/mod.ts";
import type * as templates from "../rollout_template/mod.ts";
import type * as commands from "./command.ts";

/** A change that was answered; a resend gets the same answer. */
export interface AnsweredRequest {
  /** SHA-256 of the change; tells a resend from another change. */
  readonly digest: string;
  readonly answer: commands.CommandAnswer;
  /** Wall time of the change at the leader, in ms since the epoch. */
  readonly atMs: number;
}

/** The state that all replicas agree on. Unless noted, maps are keyed by id. */
export interface ReplicatedState {
  /** Configuration revision; incremented by each accepted change. */
  readonly revision: number;
  readonly accounts: immutable.Map<string, accounts.ClientAccount>;
  /** Rollout templates, by account and name; see `formatTemplateKey`. */
  readonly templates: immutable.Map<string, templates.RolloutTemplate>;
  /** Roles of backend servers. */
  readonly roles: immutable.Map<string, backendServers.RoleSetting>;
  /** Newest weight version of each model, by model name. */
  readonly models: immutable.Map<string, models.ModelVersion>;
  /** Accepted changes, oldest first. */
  readonly audit: immutable.List<audit.AuditRecord>;
  /** Answered changes, by account and request id. */
  readonly requests: immutable.Map<string, AnsweredRequest>;
  /** Claims of calls, by idempotency key. */
  readonly claims: immutable.Map<string, claims.CallClaim>;
  readonly steps: immutable.Map<string, steps.RolloutStep>;
}

/** The state before the first command. */
export const EMPTY_STATE: ReplicatedState = {
  revision: 0,
  accounts: immutable.Map(),
  templates: immutable.Map(),
  roles: immutable.Map(),
  models: immutable.Map(),
  audit: immutable.List(),
  requests: immutable.Map(),
  claims: immutable.Map(),
  steps: immutable.Map(),
};
