import * as crypto from "node:crypto";
import type * as audit from "../audit_trail/mod.ts";
import type * as control from "../control/mod.ts";
import type * as operators from "../operator/mod.ts";
import * as results from "../results/mod.ts";
import type * as templates from "../rollout_template/mod.ts";
import * as reports from "./_report.ts";
import * as adminClient from "./admin_client.ts";

/** Options of every command that asks a box. */
export interface AdminArguments {
  readonly admin: string;
  readonly token: string;
  readonly json: boolean;
}

/** Options of a change. */
export interface ChangeArguments extends AdminArguments {
  readonly account: string;
  /** `name=value` pairs. */
  readonly values: readonly string[];
  readonly revision: number | undefined;
  readonly requestId: string | undefined;
  readonly waitMs: number;
}

function sendRequest(
  args: AdminArguments,
  method: string,
  path: string,
  json?: unknown,
): Promise<results.Result<unknown>> {
  const options = { baseUrl: args.admin, token: args.token };
  return adminClient.sendAdminRequest(options, method, path, json);
}

function reportReply(
  args: AdminArguments,
  answer: results.Result<unknown>,
  format: (value: never) => string,
): number {
  if (answer.kind === "failure") return reports.reportFailure(answer.failure);
  return reports.reportValue(answer.value, args.json, format);
}

/** Reads `name=value` pairs; values are JSON where they parse, else text. */
function parseValues(
  pairs: readonly string[],
): results.Result<Readonly<Record<string, unknown>>> {
  const malformed = pairs.find((pair) => !pair.includes("="));
  if (malformed !== undefined) {
    return results.createFailure(
      "badArguments",
      `Cannot read '${malformed}': it is not name=value`,
    );
  }
  const entries = pairs.map((pair) => {
    const separator = pair.indexOf("=");
    return [
      pair.slice(0, separator),
      parseValue(pair.slice(separator + 1)),
    ] as const;
  });
  return results.createOk(Object.fromEntries(entries));
}

function parseValue(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

function formatChange(answer: operators.ChangeAnswer): string {
  const status = answer.isInForce
    ? `in force everywhere after ${answer.inForceMs} ms`
    : "not yet known to be in force everywhere";
  return `accepted as revision ${answer.revision}, ${status}`;
}

function formatTemplate(template: templates.RolloutTemplate): string {
  const rows = Object.entries(template.parameters).map((
    [name, value],
  ) => [name, String(value)]);
  return reports.formatTable([
    ["account", template.account],
    ["template", template.name],
    ["revision", String(template.revision)],
    ...rows,
  ]);
}

/** Lists the templates of a client account. */
export async function listTemplates(
  args: AdminArguments & { readonly account: string },
): Promise<number> {
  const answer = await sendRequest(
    args,
    "GET",
    `/v1/accounts/${args.account}/templates`,
  );
  return reportReply(
    args,
    answer,
    (value: { readonly templates: readonly templates.RolloutTemplate[] }) =>
      reports.formatTable([
        ["TEMPLATE", "REVISION", "TRAINER", "MODEL"],
        ...value.templates.map((template) => [
          template.name,
          String(template.revision),
          template.parameters.trainer,
          template.parameters.model,
        ]),
      ]),
  );
}

/** Shows one template. */
export async function showTemplate(
  args: AdminArguments & { readonly account: string; readonly name: string },
): Promise<number> {
  const path = `/v1/accounts/${args.account}/templates/${args.name}`;
  return reportReply(
    args,
    await sendRequest(args, "GET", path),
    formatTemplate,
  );
}

/** Sets parameters of a template against its current or a stated revision. */
export function setTemplate(
  args: ChangeArguments & { readonly name: string },
): Promise<number> {
  const path = `/v1/accounts/${args.account}/templates/${args.name}`;
  return sendChange(args, path, (values) => ({ parameters: values }));
}

/** Sets the policy of a client account, and its tokens if any are given. */
export function setAccount(
  args: ChangeArguments & { readonly tokens: readonly string[] },
): Promise<number> {
  const tokens = args.tokens.length === 0 ? {} : { tokens: args.tokens };
  return sendChange(
    args,
    `/v1/accounts/${args.account}`,
    (values) => ({ policy: values, ...tokens }),
  );
}

async function sendChange(
  args: ChangeArguments,
  path: string,
  build: (values: Readonly<Record<string, unknown>>) => object,
): Promise<number> {
  const values = parseValues(args.values);
  if (values.kind === "failure") return reports.reportFailure(values.failure);
  const baseRevision = args.revision ?? await readRevision(args, path);
  if (typeof baseRevision !== "number") {
    return reports.reportFailure(baseRevision);
  }
  const answer = await sendRequest(args, "PUT", path, {
    ...build(values.value),
    baseRevision,
    requestId: args.requestId ?? crypto.randomUUID(),
    waitMs: args.waitMs,
  });
  return reportReply(args, answer, formatChange);
}

/** Reads the revision that stands; 0 for what does not exist yet. */
async function readRevision(
  args: AdminArguments,
  path: string,
): Promise<number | results.Failure> {
  const current = await sendRequest(args, "GET", path);
  if (current.kind === "ok") {
    return (current.value as { readonly revision: number }).revision;
  }
  const { code } = current.failure;
  if (code === "unknownTemplate" || code === "unknownAccount") return 0;
  return current.failure;
}

/** Sets the role of an engine: mixed, rollout or caller. */
export function setRole(
  args: Omit<ChangeArguments, "account" | "values"> & {
    readonly server: string;
    readonly role: string;
  },
): Promise<number> {
  const { role, server } = args;
  const change = { ...args, account: "", values: [] };
  return sendChange(change, `/v1/servers/${server}/role`, () => ({ role }));
}

/** Shows a client account's policy. */
export async function showAccount(
  args: AdminArguments & { readonly account: string },
): Promise<number> {
  const answer = await sendRequest(args, "GET", `/v1/accounts/${args.account}`);
  return reportReply(
    args,
    answer,
    (
      value: {
        readonly id: string;
        readonly revision: number;
        readonly policy: object;
      },
    ) =>
      reports.formatTable([
        ["account", value.id],
        ["revision", String(value.revision)],
        ...Object.entries(value.policy).map((
          [name, item],
        ) => [name, String(item)]),
      ]),
  );
}

/** Shows the leader, replicas, boxes and backend servers. */
export async function showStatus(args: AdminArguments): Promise<number> {
  return reportReply(
    args,
    await sendRequest(args, "GET", "/v1/status"),
    formatStatus,
  );
}

function formatStatus(
  status: Extract<control.StatusReply, { readonly kind: "status" }>,
): string {
  const { replica } = status;
  const boxes = reports.formatTable([
    ["BOX", "ADDRESS", "FAILURE DOMAIN", "REVISION", "LEASE LEFT", "STATE"],
    ...status.boxes.map((box) => [
      box.id,
      box.address,
      box.failureDomain,
      `${box.revision}${box.revision < status.revision ? " (behind)" : ""}`,
      box.leaseLeftMs > 0 ? `${box.leaseLeftMs} ms` : "none",
      box.isDraining ? "draining" : "serving",
    ]),
  ]);
  const replicas = reports.formatTable([
    ["REPLICA", "MATCHED", "SILENT", "STATE"],
    ...replica.followers.map((follower) => [
      follower.id,
      `${follower.matchIndex} of ${replica.lastIndex}`,
      `${follower.silentMs} ms`,
      follower.isAdmitted ? "counts" : "catching up",
    ]),
  ]);
  const models = status.models.map((model) =>
    `${model.model}=${model.weightVersion}`
  ).join(" ");
  const leaving =
    status.servers.filter((server) => server.state === "leaving").length;
  return [
    `leader ${status.leader}, term ${replica.term}, revision ${status.revision}`,
    `weights ${
      models || "none"
    }; backend servers ${status.servers.length}, leaving ${leaving}`,
    replicas,
    boxes,
  ].join("\n\n");
}

/** Filters of the audit trail. */
export interface AuditArguments extends AdminArguments {
  readonly account: string | undefined;
  readonly template: string | undefined;
  readonly operator: string | undefined;
  readonly after: number | undefined;
  readonly limit: number;
}

/** Lists accepted changes. */
export async function listAudit(args: AuditArguments): Promise<number> {
  const { account, template, operator, after, limit } = args;
  const filters = Object.entries({ account, template, operator, after, limit })
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => [name, String(value)] as [string, string]);
  const query = new URLSearchParams(filters);
  const answer = await sendRequest(args, "GET", `/v1/audit?${query}`);
  return reportReply(
    args,
    answer,
    (value: { readonly records: readonly audit.AuditRecord[] }) =>
      value.records.map(formatRecord).join("\n"),
  );
}

function formatRecord(record: audit.AuditRecord): string {
  const time = new Date(record.atMs).toISOString();
  const target = record.template === undefined
    ? record.account
    : `${record.account}/${record.template}`;
  return `${time} revision=${record.revision} operator=${record.operator} target=${target} request=${record.requestId}\n` +
    `  before ${record.before ?? "(none)"}\n  after  ${record.after}`;
}

/** Begins the planned stop of the asked box. */
export async function startDrain(args: AdminArguments): Promise<number> {
  return reportReply(
    args,
    await sendRequest(args, "POST", "/v1/drain"),
    () => "the box is being stopped",
  );
}

/** Changes the log level of the asked box. */
export async function setLogLevel(
  args: AdminArguments & { readonly level: string },
): Promise<number> {
  const answer = await sendRequest(args, "PUT", "/v1/log-level", {
    level: args.level,
  });
  return reportReply(args, answer, () => `the log level is ${args.level}`);
}
