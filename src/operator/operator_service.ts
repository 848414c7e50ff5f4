import * as z from "zod";
import * as backendServers from "../backend_server/mod.ts";
import * as accounts from "../client_account/mod.ts";
import type * as clocks from "../clock/mod.ts";
import * as control from "../control/mod.ts";
import * as httpServer from "../http_server/mod.ts";
import type * as replicated from "../replicated_state/mod.ts";
import * as results from "../results/mod.ts";
import * as templates from "../rollout_template/mod.ts";
import type * as accessChecks from "./check_access.ts";
import * as filterStatus from "./filter_status.ts";

const PROPOSE_TIMEOUT_MS = 8_000;
const READ_TIMEOUT_MS = 3_000;
const DEFAULT_WAIT_MS = 10_000;
/** Wait of one question to a leader, which may be cut off, in ms. */
const IN_FORCE_POLL_MS = 500;
const DEFAULT_AUDIT_LIMIT = 100;

const changeFields = {
  baseRevision: z.number().int().min(0),
  requestId: z.string().min(1).max(128),
  /** How long to wait until the change is in force, in ms; 0 not to wait. */
  waitMs: z.number().int().min(0).max(60_000).default(DEFAULT_WAIT_MS),
};

const templateChangeSchema = z.strictObject({
  ...changeFields,
  parameters: z.record(z.string(), z.unknown()),
});

const accountChangeSchema = z.strictObject({
  ...changeFields,
  policy: z.record(z.string(), z.unknown()).default({}),
  tokens: z.array(z.string().min(8)).min(1).max(8).optional(),
});

const roleChangeSchema = z.strictObject({
  ...changeFields,
  role: z.enum(backendServers.SERVER_ROLES),
});

const auditSchema = z.object({
  account: z.string().optional(),
  template: z.string().optional(),
  operator: z.string().optional(),
  after: z.coerce.number().int().optional(),
  from: z.coerce.number().int().optional(),
  limit: z.coerce.number().int().positive().default(DEFAULT_AUDIT_LIMIT),
});

/** The answer to an accepted change. */
export interface ChangeAnswer {
  readonly revision: number;
  /** Whether every box is known to serve under it. */
  readonly isInForce: boolean;
  /** Time from acceptance to in force, in ms, where it was waited for. */
  readonly inForceMs: number | undefined;
}

type Status = Extract<control.StatusReply, { readonly kind: "status" }>;

type Body = Readonly<Record<string, unknown>>;

/** Carries out what operators ask. */
export class OperatorService {
  readonly #client: control.ControlClient;
  readonly #clock: clocks.Clock;

  constructor(client: control.ControlClient, clock: clocks.Clock) {
    this.#client = client;
    this.#clock = clock;
  }

  /** Gives an account without its token hashes. */
  getAccount(id: string): results.Result<object> {
    const account = this.#client.getView().accounts.get(id);
    if (account === undefined) {
      return results.createFailure(
        "unknownAccount",
        `Cannot find the client account ${id}`,
      );
    }
    const { policy, revision } = account;
    return results.createOk({ id, policy, revision });
  }

  listTemplates(account: string): results.Result<object> {
    const all = [...this.#client.getView().templates.values()];
    return results.createOk({
      templates: all.filter((template) => template.account === account),
    });
  }

  getTemplate(account: string, name: string): results.Result<object> {
    const key = templates.formatTemplateKey(account, name);
    const template = this.#client.getView().templates.get(key);
    if (template !== undefined) return results.createOk(template);
    return results.createFailure(
      "unknownTemplate",
      `Cannot find the template ${name} of ${account}`,
    );
  }

  async setTemplate(
    operator: accessChecks.Operator,
    route: { readonly account: string; readonly template: string },
    body: Body,
  ): Promise<results.Result<object>> {
    const parsed = httpServer.parseFields(templateChangeSchema, body);
    if (parsed.kind === "failure") return parsed;
    const { baseRevision, requestId, parameters, waitMs } = parsed.value;
    return await this.#proposeChange({
      kind: "setTemplate",
      origin: this.#createOrigin(operator, requestId),
      baseRevision,
      account: route.account,
      name: route.template,
      change: parameters,
    }, waitMs);
  }

  async setAccount(
    operator: accessChecks.Operator,
    id: string,
    body: Body,
  ): Promise<results.Result<object>> {
    const parsed = httpServer.parseFields(accountChangeSchema, body);
    if (parsed.kind === "failure") return parsed;
    const { baseRevision, requestId, policy, tokens, waitMs } = parsed.value;
    return await this.#proposeChange({
      kind: "setAccount",
      origin: this.#createOrigin(operator, requestId),
      baseRevision,
      id,
      tokenSha256s: tokens?.map(accounts.hashToken),
      change: policy,
    }, waitMs);
  }

  /** Gives the role that is set for an engine; `mixed` at revision 0 if none. */
  async getRole(server: string): Promise<results.Result<object>> {
    const read = await this.#readLeader(control.METHODS.readStatus, {});
    if (read.kind === "failure") return read;
    const { roles } = read.value as Status;
    const roleSetting = roles.find((setting) => setting.server === server);
    return results.createOk(
      roleSetting ?? { server, role: "mixed", revision: 0 },
    );
  }

  async setRole(
    operator: accessChecks.Operator,
    server: string,
    body: Body,
  ): Promise<results.Result<object>> {
    const parsed = httpServer.parseFields(roleChangeSchema, body);
    if (parsed.kind === "failure") return parsed;
    const { baseRevision, requestId, role, waitMs } = parsed.value;
    const origin = this.#createOrigin(operator, requestId);
    return await this.#proposeChange({
      kind: "setServerRole",
      origin,
      baseRevision,
      server,
      role,
    }, waitMs);
  }

  async readAudit(
    operator: accessChecks.Operator,
    query: URLSearchParams,
  ): Promise<results.Result<object>> {
    const parsed = httpServer.parseFields(
      auditSchema,
      Object.fromEntries(query),
    );
    if (parsed.kind === "failure") return parsed;
    const { after, from, limit, ...rest } = parsed.value;
    const account = operator.kind === "account"
      ? operator.account
      : rest.account;
    const request: control.AuditRequest = {
      filter: { ...rest, account, afterRevision: after, fromMs: from },
      limit,
    };
    return await this.#readLeader(control.METHODS.readAudit, request);
  }

  /** Reads the leader's view, limited to what the operator may see. */
  async readStatus(
    operator: accessChecks.Operator,
  ): Promise<results.Result<object>> {
    const read = await this.#readLeader(control.METHODS.readStatus, {});
    if (read.kind === "failure" || operator.kind === "root") return read;
    const all = [...this.#client.getView().templates.values()];
    const status = read.value as Status;
    return results.createOk(
      filterStatus.filterStatus(status, operator.account, all),
    );
  }

  async #readLeader(
    method: string,
    params: object,
  ): Promise<results.Result<object>> {
    const read = await this.#client.callLeader(method, params, READ_TIMEOUT_MS);
    if (read.kind === "ok") return read;
    return results.createFailure(
      "noLeader",
      `Cannot read: ${read.failure.message}`,
      { retryAfterMs: 1_000 },
    );
  }

  #createOrigin(
    operator: accessChecks.Operator,
    requestId: string,
  ): replicated.ChangeOrigin {
    const name = operator.kind === "root" ? "root" : operator.account;
    return { operator: name, requestId, atMs: this.#clock.getWallMs() };
  }

  async #proposeChange(
    command:
      | replicated.SetAccount
      | replicated.SetTemplate
      | replicated.SetServerRole,
    waitMs: number,
  ): Promise<results.Result<object>> {
    const answer = await this.#client.propose(command, PROPOSE_TIMEOUT_MS);
    if (answer.kind === "failure") return answer;
    const accepted = checkAccepted(answer.value);
    if (accepted.kind === "failure") return accepted;
    return results.createOk(await this.#awaitInForce(accepted.value, waitMs));
  }

  async #awaitInForce(
    revision: number,
    waitMs: number,
  ): Promise<ChangeAnswer> {
    if (waitMs === 0) {
      return { revision, isInForce: false, inForceMs: undefined };
    }
    const startMs = this.#clock.getMonotonicMs();
    for (;;) {
      const isInForce = await this.#pollInForce(revision);
      const elapsedMs = Math.round(this.#clock.getMonotonicMs() - startMs);
      if (isInForce) return { revision, isInForce, inForceMs: elapsedMs };
      if (elapsedMs >= waitMs) {
        return { revision, isInForce, inForceMs: undefined };
      }
    }
  }

  async #pollInForce(revision: number): Promise<boolean> {
    const request: control.InForceRequest = {
      revision,
      timeoutMs: IN_FORCE_POLL_MS,
    };
    const waited = await this.#client.callLeader<control.InForceReply>(
      control.METHODS.awaitInForce,
      request,
      2 * IN_FORCE_POLL_MS,
    );
    return waited.kind === "ok" && waited.value.kind === "waited" &&
      waited.value.isInForce;
  }
}

function checkAccepted(
  answer: replicated.CommandAnswer,
): results.Result<number> {
  switch (answer.kind) {
    case "accepted":
      return results.createOk(answer.revision);
    case "conflict":
      return results.createFailure(
        "wrongRevision",
        `Cannot accept the change: revision ${answer.revision} of request ${
          answer.wonBy || "(none)"
        } stands`,
      );
    case "requestReused":
      return results.createFailure(
        "requestReused",
        "Cannot accept the change: its request id was used for another",
      );
    case "unknownAccount":
      return results.createFailure(
        "unknownAccount",
        "Cannot accept the change: there is no such client account",
      );
    case "badParameters":
      return results.createFailure("badParameters", answer.message);
    default:
      return results.createFailure(
        "internal",
        `Cannot accept the change: unexpected answer ${answer.kind}`,
      );
  }
}
