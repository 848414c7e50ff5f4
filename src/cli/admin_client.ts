import * as httpClient from "../http_client/mod.ts";
import * as results from "../results/mod.ts";

/** Where and as whom the administration API is asked. */
export interface AdminOptions {
  readonly baseUrl: string;
  readonly token: string;
}

const REQUEST_TIMEOUT_MS = 70_000;

/** The part of an error answer that is read. */
interface ErrorBody {
  readonly error?: {
    readonly name?: string;
    readonly message?: string;
    readonly outcome?: results.Outcome;
  };
}

/**
 * Asks the administration API of a box.
 *
 * @param options Where and as whom.
 * @param method HTTP method.
 * @param path Path and query.
 * @param json Body, if any.
 * @returns The answer, or the failure that the box told.
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
