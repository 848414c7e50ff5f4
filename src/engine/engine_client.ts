import * as z from "zod";
import * as backendServers from "../backend_server/mod.ts";
import * as httpClient from "../http_client/mod.ts";
import * as results from "../results/mod.ts";

const statusSchema = z.object({
  /** When it started, in Unix ms; absent where each start has its own id. */
  born: z.number().int().min(0).optional(),
  /** Weight version loaded, by model. */
  models: z.record(z.string(), z.number().int()).default({}),
  active: z.number().int(),
  queued: z.number().int(),
  slots: z.number().int().positive(),
  isSwapping: z.boolean().default(false),
  role: z.enum(backendServers.SERVER_ROLES).default("mixed"),
}).readonly();

/** What a backend server reports of itself. */
export type ServerReport = z.infer<typeof statusSchema>;

/** What an engine is ordered to do. */
export type OrderAction =
  | {
    readonly kind: "load" | "loadAdapter";
    readonly model: string;
    readonly weightVersion: number;
  }
  | { readonly kind: "setRole"; readonly role: backendServers.ServerRole };

/** An order to an engine. */
export interface EngineOrder {
  readonly action: OrderAction;
  /** Fencing number; rises with each leader. */
  readonly fence: number;
  /** Time after which the engine must not begin, in ms from now. */
  readonly deadlineMs: number;
}

const STATUS_TIMEOUT_MS = 800;
const CONFLICT_STATUS = 409;

/**
 * Reads a backend server's report: `GET /v1/status`.
 *
 * @param server The server.
 * @returns Its report, or `connectFailed`.
 */
export async function readReport(
  server: backendServers.BackendServer,
): Promise<results.Result<ServerReport>> {
  const answer = await httpClient.sendJson({
    baseUrl: formatUrl(server),
    path: "/v1/status",
    method: "GET",
    timeoutMs: STATUS_TIMEOUT_MS,
  });
  if (answer.kind === "failure") return answer;
  const parsed = statusSchema.safeParse(answer.value.json);
  if (parsed.success) return results.createOk(parsed.data);
  return results.createFailure(
    "connectFailed",
    `Cannot read the report of ${server.id}: ${parsed.error.message}`,
  );
}

/**
 * Orders an engine to load weights or to change its role: `POST /v1/orders`.
 *
 * @param server The engine.
 * @param order The order.
 * @returns Ok once it is done; `notLeader` if the engine has seen a
 * newer fencing number; `backendFailed` if the load failed.
 */
export async function sendOrder(
  server: backendServers.BackendServer,
  order: EngineOrder,
): Promise<results.Result<undefined>> {
  const answer = await httpClient.sendJson({
    baseUrl: formatUrl(server),
    path: "/v1/orders",
    method: "POST",
    timeoutMs: order.deadlineMs,
    json: {
      ...formatAction(order.action),
      fence: order.fence,
      deadline_ms: order.deadlineMs,
    },
  });
  if (answer.kind === "failure") return answer;
  if (answer.value.status === 200) return results.createOk(undefined);
  if (answer.value.status === CONFLICT_STATUS) {
    return results.createFailure(
      "notLeader",
      `Cannot order ${server.id}: it has seen a newer fencing number`,
    );
  }
  return results.createFailure(
    "backendFailed",
    `Cannot order ${server.id}: it answered ${answer.value.status}`,
  );
}

function formatUrl(server: backendServers.BackendServer): string {
  return `http://${server.address}:${server.port}`;
}

function formatAction(action: OrderAction): object {
  switch (action.kind) {
    case "load":
    case "loadAdapter": {
      const { kind, model, weightVersion } = action;
      return { kind, model, weight_version: weightVersion };
    }
    case "setRole":
      return { kind: "set_role", role: action.role };
  }
}
