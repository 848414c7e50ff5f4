import type * as results from "./result.ts";

/** Carries a failure through code that throws. */
export class FailureError extends Error {
  readonly failure: results.Failure;

  constructor(failure: results.Failure) {
    super(failure.message);
    this.name = "FailureError";
    this.failure = failure;
  }
}

/**
 * Gives any thrown value as a failure.
 *
 * @param error The thrown value.
 * @returns Its failure, or an internal one of unknown outcome.
 */
export function toFailure(error: unknown): results.Failure {
  if (error instanceof FailureError) return error.failure;
  const message = error instanceof Error ? error.message : String(error);
  return { code: "internal", message, outcome: "unknown" };
}
