import type * as z from "zod";
import * as results from "../results/mod.ts";

/**
 * Merges values onto an object and checks the whole against a schema. A null
 * removes a value.
 *
 * @param schema What the whole must be.
 * @param current The object now, if any.
 * @param change The values to set.
 * @returns The whole, or `badParameters` naming each value that is wrong.
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
