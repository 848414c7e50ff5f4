import * as crypto from "node:crypto";
import type * as audit from "../audit_trail/mod.ts";
import * as accounts from "../client_account/mod.ts";
import * as models from "../model_version/mod.ts";
import * as results from "../results/mod.ts";
import * as templates from "../rollout_template/mod.ts";
import type * as commands from "./command.ts";
import type * as replicatedStates from "./replicated_state.ts";

/** Audit records kept; the oldest go first. */
const MAX_AUDIT_RECORDS = 50_000;

/** Stands in the audit trail for what belongs to no client account. */
const ROOT_ACCOUNT = "(root)";

/** A state after a command and the command's answer. */
export interface ApplyResult {
  readonly state: replicatedStates.ReplicatedState;
  readonly answer: commands.CommandAnswer;
}

/** What a change sets, once checked. */
interface ValidatedChange {
  /** Values after the change, as JSON text. */
  readonly after: string;
  readonly put: (
    state: replicatedStates.ReplicatedState,
    revision: number,
  ) => replicatedStates.ReplicatedState;
}

/** A change as the rules for all changes see it. */
interface AuditedChange {
  readonly origin: commands.ChangeOrigin;
  readonly account: string;
  readonly template: string | undefined;
  readonly baseRevision: number;
  readonly currentRevision: number;
  /** Values before, as JSON text. */
  readonly before: string | undefined;
  /** All that the operator sent; a resend has the same. */
  readonly payload: unknown;
  readonly validate: () => results.Result<ValidatedChange>;
}

function hashChange(change: AuditedChange): string {
  const { account, template, baseRevision, payload: payload } = change;
  const text = JSON.stringify([account, template, baseRevision, payload]);
  return crypto.createHash("sha256").update(text).digest("hex");
}

function findRequestId(
  state: replicatedStates.ReplicatedState,
  revision: number,
): string {
  const record = state.audit.findLast((entry) => entry.revision === revision);
  return record?.requestId ?? "";
}

function applyNewChange(
  state: replicatedStates.ReplicatedState,
  change: AuditedChange,
): ApplyResult {
  if (change.baseRevision !== change.currentRevision) {
    const revision = change.currentRevision;
    const wonBy = findRequestId(state, revision);
    return { state, answer: { kind: "conflict", revision, wonBy } };
  }
  const validated = change.validate();
  if (validated.kind === "failure") {
    const { message } = validated.failure;
    return { state, answer: { kind: "badParameters", message } };
  }
  const revision = state.revision + 1;
  const updated = validated.value.put(state, revision);
  const record = createAuditRecord(change, validated.value, revision);
  const trail = updated.audit.push(record).takeLast(MAX_AUDIT_RECORDS);
  return {
    state: { ...updated, revision, audit: trail },
    answer: { kind: "accepted", revision },
  };
}

function createAuditRecord(
  change: AuditedChange,
  validated: ValidatedChange,
  revision: number,
): audit.AuditRecord {
  return {
    revision,
    atMs: change.origin.atMs,
    account: change.account,
    template: change.template,
    operator: change.origin.operator,
    requestId: change.origin.requestId,
    before: change.before,
    after: validated.after,
  };
}

function applyChange(
  state: replicatedStates.ReplicatedState,
  change: AuditedChange,
): ApplyResult {
  const key = `${change.account}/${change.origin.requestId}`;
  const digest = hashChange(change);
  const previous = state.requests.get(key);
  if (previous !== undefined) {
    const isSame = previous.digest === digest;
    return {
      state,
      answer: isSame ? previous.answer : { kind: "requestReused" },
    };
  }
  const applied = applyNewChange(state, change);
  const { answer } = applied;
  const { atMs } = change.origin;
  const requests = applied.state.requests.set(key, { digest, answer, atMs });
  return { state: { ...applied.state, requests }, answer };
}

function describeAccount(
  account: Pick<accounts.ClientAccount, "policy" | "tokenSha256s">,
): string {
  const { policy, tokenSha256s } = account;
  return JSON.stringify({ policy, tokens: tokenSha256s.length });
}

/** Applies a change of a client account. */
export function applySetAccount(
  state: replicatedStates.ReplicatedState,
  command: commands.SetAccount,
): ApplyResult {
  const { id, change } = command;
  const current = state.accounts.get(id);
  const tokenSha256s = command.tokenSha256s ?? current?.tokenSha256s ?? [];
  return applyChange(state, {
    origin: command.origin,
    account: id,
    template: undefined,
    baseRevision: command.baseRevision,
    currentRevision: current?.revision ?? 0,
    before: current === undefined ? undefined : describeAccount(current),
    payload: [command.tokenSha256s ?? null, change],
    validate() {
      const validated = accounts.checkPolicy(current?.policy, change);
      if (validated.kind === "failure") return validated;
      const policy = validated.value;
      return results.createOk({
        after: describeAccount({ policy, tokenSha256s }),
        put: (before, revision) => ({
          ...before,
          accounts: before.accounts.set(id, {
            id,
            tokenSha256s,
            policy,
            revision,
          }),
        }),
      });
    },
  });
}

/** Applies a change of a rollout template. */
export function applySetTemplate(
  state: replicatedStates.ReplicatedState,
  command: commands.SetTemplate,
): ApplyResult {
  const { account, name, change } = command;
  if (!state.accounts.has(account)) {
    return { state, answer: { kind: "unknownAccount" } };
  }
  const key = templates.formatTemplateKey(account, name);
  const current = state.templates.get(key);
  return applyChange(state, {
    origin: command.origin,
    account,
    template: name,
    baseRevision: command.baseRevision,
    currentRevision: current?.revision ?? 0,
    before: current && JSON.stringify(current.parameters),
    payload: change,
    validate() {
      const validated = templates.checkParameters(current?.parameters, change);
      if (validated.kind === "failure") return validated;
      const parameters = validated.value;
      return results.createOk({
        after: JSON.stringify(parameters),
        put: (before, revision) => ({
          ...before,
          templates: before.templates.set(key, {
            account,
            name,
            parameters,
            revision,
          }),
        }),
      });
    },
  });
}

/** Applies a change of an engine's role, which belongs to no account. */
export function applySetServerRole(
  state: replicatedStates.ReplicatedState,
  command: commands.SetServerRole,
): ApplyResult {
  const { server, role } = command;
  const current = state.roles.get(server);
  return applyChange(state, {
    origin: command.origin,
    account: ROOT_ACCOUNT,
    template: undefined,
    baseRevision: command.baseRevision,
    currentRevision: current?.revision ?? 0,
    before: current && JSON.stringify({ server, role: current.role }),
    payload: [server, role],
    validate: () =>
      results.createOk({
        after: JSON.stringify({ server, role }),
        put: (before, revision) => ({
          ...before,
          roles: before.roles.set(server, { server, role, revision }),
        }),
      }),
  });
}

/** Notes a weight version; it is spread like a change but not audited. */
export function applyPublishModel(
  state: replicatedStates.ReplicatedState,
  command: commands.PublishModel,
): ApplyResult {
  const { model, weightVersion } = command;
  if (!models.isNewer(state.models.get(model), weightVersion)) {
    return { state, answer: { kind: "done" } };
  }
  const revision = state.revision + 1;
  const entry = { model, weightVersion, revision };
  return {
    state: { ...state, revision, models: state.models.set(model, entry) },
    answer: { kind: "accepted", revision },
  };
}
