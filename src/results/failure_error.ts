import type * as results from "./result.ts";

/** An error that carries a failure. */
export class FailureError extends Error {
  readonly failure: results.Failure;

  constructor(failure: results.Failure) {
    super(failure.message);
    this.name = "FailureError";
    this.failure = failure;
  }
}

/**
 * Converts a thrown value to a failure.
 *
 * @param error The thrown value.
 * @returns The failure that it carries, or `internal` with an unknown outcome.
 */
export function toFailure(error: unknown): results.Failure {
  if (error instanceof FailureError) return error.failure;
  const message = error instanceof Error ? error.message : String(error);
  return { code: "internal", message, outcome: "unknown" };
}
