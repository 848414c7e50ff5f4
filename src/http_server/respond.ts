import type * as http from "node:http";
import * as prepareAnswers from "./prepare_answer.ts";
import * as results from "../results/mod.ts";

const MS_PER_SECOND = 1_000;

/** JSON body of a failure response. */
export interface FailureBody {
  readonly error: {
    readonly code: number;
    readonly name: string;
    readonly message: string;
    readonly outcome: results.Outcome;
    readonly retryAfterMs?: number;
  };
}

/**
 * Converts a failure to a response body.
 *
 * @param failure The failure.
 * @returns The body.
 */
export function createFailureBody(failure: results.Failure): FailureBody {
  const { code: name, message, outcome, retryAfterMs } = failure;
  const code = results.RESULT_CODES[name].number;
  const error = { code, name, message, outcome };
  return {
    error: retryAfterMs === undefined ? error : { ...error, retryAfterMs },
  };
}

/**
 * Sends a JSON response, unless headers were sent or the connection is closed.
 *
 * @param response The response.
 * @param status HTTP status.
 * @param value The body, before it is serialized.
 */
export function respondJson(
  response: http.ServerResponse,
  status: number,
  value: unknown,
): void {
  if (response.headersSent || response.destroyed) return;
  const body = Buffer.from(`${JSON.stringify(value)}\n`);
  prepareAnswers.prepareAnswer(response, body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": String(body.length),
  });
  response.end(body);
}

/**
 * Sends a failure response. If headers were already sent, it destroys the
 * connection instead, so that the truncated response can't look complete.
 *
 * @param response The response.
 * @param failure The failure.
 */
export function respondFailure(
  response: http.ServerResponse,
  failure: results.Failure,
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const entry = results.RESULT_CODES[failure.code];
  response.setHeader("x-hoistscale-code", String(entry.number));
  response.setHeader("x-hoistscale-outcome", failure.outcome);
  if (failure.retryAfterMs !== undefined) {
    const seconds = Math.ceil(failure.retryAfterMs / MS_PER_SECOND);
    response.setHeader("retry-after", String(seconds));
  }
  if (failure.code === "bodyTooLarge" || failure.code === "senderTooSlow") {
    response.setHeader("connection", "close");
  }
  respondJson(response, entry.httpStatus, createFailureBody(failure));
}
