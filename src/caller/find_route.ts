import type * as settings from "../settings/mod.ts";

/** Route of a request to the caller port. */
export type Route =
  | { readonly kind: "addresses" }
  | { readonly kind: "completion"; readonly format: "text" | "chat" }
  | {
    readonly kind: "service";
    readonly service: settings.ServiceSettings;
    readonly operation: settings.OperationSettings;
    /** Path and query for the backend server. */
    readonly path: string;
  }
  | {
    readonly kind: "trainer";
    readonly action: TrainerAction;
    readonly trainer: string;
  }
  | { readonly kind: "unknown" };

/** Actions of the trainer API. */
export type TrainerAction = "open" | "fetch" | "acknowledge";

const SERVICE_PATH = /^\/services\/([a-z0-9_.-]+)(\/.*)$/;
const TRAINER_PATH =
  /^\/v1\/trainers\/([A-Za-z0-9_.-]+)\/(open|fetch|acknowledge)$/;

/**
 * Finds the route of a request.
 *
 * @param method HTTP method.
 * @param url Path and query.
 * @param services The services of the deployment.
 * @returns The route; `unknown` if nothing matches.
 */
export function findRoute(
  method: string,
  url: string,
  services: readonly settings.ServiceSettings[],
): Route {
  if (method === "GET" && url === "/v1/addresses") return { kind: "addresses" };
  if (method === "POST" && url === "/v1/completions") {
    return { kind: "completion", format: "text" };
  }
  if (method === "POST" && url === "/v1/chat/completions") {
    return { kind: "completion", format: "chat" };
  }
  const trainer = TRAINER_PATH.exec(url);
  if (method === "POST" && trainer !== null) {
    return {
      kind: "trainer",
      trainer: trainer[1] ?? "",
      action: trainer[2] as TrainerAction,
    };
  }
  return findServiceRoute(method, url, services);
}

function findServiceRoute(
  method: string,
  url: string,
  services: readonly settings.ServiceSettings[],
): Route {
  const match = SERVICE_PATH.exec(url);
  const path = match?.[2] ?? "";
  const service = services.find((candidate) =>
    candidate.kind === "plain" && candidate.name === match?.[1]
  );
  const operation = service?.operations.find((candidate) =>
    candidate.method === method && path.startsWith(candidate.path)
  );
  if (service === undefined || operation === undefined) {
    return { kind: "unknown" };
  }
  return { kind: "service", service, operation, path };
}
