import type * as z from "zod";
import * as results from "../results/mod.ts";

/**
 * Merges a change into an object and validates the result against a schema. A
 * null removes a value.
 *
 * @param schema Schema of the result.
 * @param current The current object, if any.
 * @param change Values to set or remove.
 * @returns The merged object, or `badParameters` with each invalid value.
 */
export function checkChange<T>(
  schema: z.ZodType<T>,
  current: T | undefined,
  change: Readonly<Record<string, unknown>>,
): results.Result<T> {
  const merged = Object.entries({ ...current, ...change })
    .filter(([, value]) => value !== null);
  const checked = schema.safeParse(Object.fromEntries(merged));
  if (checked.success) return results.createOk(checked.data);
  const issues = checked.error.issues.map((issue) =>
    `${issue.path.join(".") || "values"}: ${issue.message}`
  );
  return results.createFailure(
    "badParameters",
    `Cannot set values: ${issues.join("; ")}`,
  );
}
