import type * as resultCodes from "./result_code.ts";

/** Whether the thing asked for ran, as far as can be said truly. */
export type Outcome = "notRun" | "ran" | "unknown";

/** A numbered error. */
export interface Failure {
  readonly code: resultCodes.ResultCodeName;
  /** What failed and why. */
  readonly message: string;
  readonly outcome: Outcome;
  /** When to come back, in ms from now, where that can help. */
  readonly retryAfterMs?: number;
}

/** A value or a failure. */
export type Result<T> =
  | { readonly kind: "ok"; readonly value: T }
  | { readonly kind: "failure"; readonly failure: Failure };

/** Options of {@linkcode createFailure}. */
export interface FailureOptions {
  /** Default `notRun`. */
  readonly outcome?: Outcome;
  readonly retryAfterMs?: number;
}

/**
 * Wraps a value.
 *
 * @param value The value.
 * @returns An ok result.
 */
export function createOk<T>(value: T): Result<T> {
  return { kind: "ok", value };
}

/**
 * Builds a failed result.
 *
 * @param code The result's name.
 * @param message What failed and why.
 * @param options Outcome and time to come back.
 * @returns A failed result.
 */
export function createFailure(
  code: resultCodes.ResultCodeName,
  message: string,
  options: FailureOptions = {},
): { readonly kind: "failure"; readonly failure: Failure } {
  const outcome = options.outcome ?? "notRun";
  const failure = { code, message, outcome };
  if (options.retryAfterMs === undefined) return { kind: "failure", failure };
  const retryAfterMs = options.retryAfterMs;
  return { kind: "failure", failure: { ...failure, retryAfterMs } };
}
