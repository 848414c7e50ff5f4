import * as immutable from "immutable";
import type * as audit from "../audit_trail/mod.ts";
import type * as backends from "../backend_server/mod.ts";
import type * as claims from "../call_claim/mod.ts";
import type * as accounts from "../client_account/mod.ts";
import type * as models from "../model_version/mod.ts";
import type * as steps from "../rollout_step/mod.ts";
import type * as templates from "../rollout_template/mod.ts";
import type * as commands from "./command.ts";

/** The first answer to a change, for resends. */
export interface AnsweredRequest {
  readonly digest: string;
  readonly answer: commands.CommandAnswer;
  readonly atMs: number;
}

/** All that the replicas agree on. */
export interface ReplicatedState {
  /** Configuration revision; rises by one with each accepted change. */
  readonly revision: number;
  readonly accounts: immutable.Map<string, accounts.ClientAccount>;
  readonly templates: immutable.Map<string, templates.RolloutTemplate>;
  readonly roles: immutable.Map<string, backends.RoleSetting>;
  readonly models: immutable.Map<string, models.ModelVersion>;
  readonly audit: immutable.List<audit.AuditRecord>;
  readonly requests: immutable.Map<string, AnsweredRequest>;
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
