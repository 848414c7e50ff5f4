import * as results from "../results/mod.ts";
import type * as httpRequests from "./http_request.ts";
import * as sendRequest from "./send_request.ts";

/** A request whose body and answer are JSON. */
export interface JsonRequest
  extends Omit<httpRequests.HttpRequest, "body" | "address" | "port" | "path"> {
  /** Base address, such as `http://127.0.0.1:8080`. */
  readonly baseUrl: string;
  readonly path: string;
  readonly json?: unknown;
}

/** A JSON answer of any status. */
export interface JsonResponse {
  readonly status: number;
  readonly json: unknown;
}

/**
 * Sends JSON and reads JSON.
 *
 * @param options The request.
 * @returns The answer, or `connectFailed` with its outcome.
 */
export async function sendJson(
  options: JsonRequest,
): Promise<results.Result<JsonResponse>> {
  const { baseUrl, json, path, ...rest } = options;
  const url = new URL(baseUrl);
  const request: httpRequests.HttpRequest = {
    ...rest,
    address: url.hostname,
    port: Number(url.port),
    path,
    headers: { "content-type": "application/json", ...options.headers },
    ...(json === undefined ? {} : { body: JSON.stringify(json) }),
  };
  const outcome = await sendRequest.sendRequest(request);
  const target = `${options.method} ${baseUrl}${path}`;
  if (outcome.kind === "notSent") {
    return results.createFailure(
      "connectFailed",
      `Cannot send ${target}: ${outcome.message}`,
    );
  }
  if (outcome.kind === "broken") {
    return results.createFailure(
      "connectFailed",
      `Cannot finish ${target}: ${outcome.message}`,
      {
        outcome: "unknown",
      },
    );
  }
  return parseResponse(outcome.head.status, outcome.body, target);
}

function parseResponse(
  status: number,
  body: Buffer,
  target: string,
): results.Result<JsonResponse> {
  if (body.length === 0) return results.createOk({ status, json: undefined });
  try {
    return results.createOk({
      status,
      json: JSON.parse(body.toString("utf8")),
    });
  } catch {
    return results.createFailure(
      "connectFailed",
      `Cannot read the answer of ${target}: it is not JSON`,
      {
        outcome: "unknown",
      },
    );
  }
}
