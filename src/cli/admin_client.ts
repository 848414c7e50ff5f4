import * as httpClient from "../http_client/mod.ts";
import * as results from "../results/mod.ts";

/** Address of the administration API and the operator's token. */
export interface AdminOptions {
  readonly baseUrl: string;
  readonly token: string;
}

const REQUEST_TIMEOUT_MS = 70_000;

/** The fields of an error response that are read. */
interface ErrorBody {
  readonly error?: {
    readonly name?: string;
    readonly message?: string;
    readonly outcome?: results.Outcome;
  };
}

/**
 * Sends a request to the administration API of a box.
 *
 * @param options Address of the API and token.
 * @param method HTTP method.
 * @param path Path and query.
 * @param json Request body, if any.
 * @returns The response's JSON, or the failure that the box or the connection
 * reported.
 */
export async function sendAdminRequest(
  options: AdminOptions,
  method: string,
  path: string,
  json?: unknown,
): Promise<results.Result<unknown>> {
  const answer = await httpClient.sendJson({
    baseUrl: options.baseUrl,
    method,
    path,
    timeoutMs: REQUEST_TIMEOUT_MS,
    headers: { authorization: `Bearer ${options.token}` },
    ...(json === undefined ? {} : { json }),
  });
  if (answer.kind === "failure") return answer;
  if (answer.value.status === 200) return results.createOk(answer.value.json);
  return parseFailure(answer.value.json as ErrorBody);
}

function parseFailure(answer: ErrorBody): results.Result<unknown> {
  const name = answer.error?.name ?? "internal";
  const code = name in results.RESULT_CODES
    ? name as results.ResultCodeName
    : "internal";
  const message = answer.error?.message ?? "Cannot read the box's answer";
  return results.createFailure(code, message, {
    outcome: answer.error?.outcome ?? "unknown",
  });
}
