import type * as dialects from "../dialect/mod.ts";
import * as results from "../results/mod.ts";

/**
 * Formats the answer to a request that this box does not serve.
 *
 * @param dialect Formats failures.
 * @param code Result code of the failure.
 * @param message Message for the caller.
 * @param options Outcome of the request, by default `notRun`, and retry delay.
 */
export function formatRefusal(
  dialect: dialects.Dialect,
  code: results.ResultCodeName,
  message: string,
  options: results.FailureOptions = {},
): dialects.RawAnswer {
  const { failure } = results.createFailure(code, message, options);
  return dialect.formatFailure(failure);
}
