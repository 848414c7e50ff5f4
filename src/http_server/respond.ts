import type * as http from "node:http";
import * as results from "../results/mod.ts";

const MS_PER_SECOND = 1_000;

/** A failure as callers see it. */
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
 * Gives a failure as a JSON body.
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
 * Answers with JSON.
 *
 * @param response Where to.
 * @param status HTTP status.
 * @param value The body.
 */
export function respondJson(
  response: http.ServerResponse,
  status: number,
  value: unknown,
): void {
  if (response.headersSent || response.destroyed) return;
  const body = Buffer.from(`${JSON.stringify(value)}\n`);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": String(body.length),
  });
  response.end(body);
}

/**
 * Answers with a numbered failure. Once part of an answer was sent, the
 * connection is cut instead, so that it can't look whole.
 *
 * @param response Where to.
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
