import type * as resultCodes from "./result_code.ts";

/** Whether the requested operation ran. */
export type Outcome = "notRun" | "ran" | "unknown";

/** A failure with a result code. */
export interface Failure {
  readonly code: resultCodes.ResultCodeName;
  /** What failed and why. */
  readonly message: string;
  readonly outcome: Outcome;
  /** Delay in ms after which a retry may succeed; undefined if unknown. */
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
 * Creates a successful result.
 *
 * @param value The value.
 * @returns The result.
 */
export function createOk<T>(value: T): Result<T> {
  return { kind: "ok", value };
}

/**
 * Creates a failed result.
 *
 * @param code Name of the result code.
 * @param message What failed and why.
 * @param options Outcome and retry delay.
 * @returns The result.
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
