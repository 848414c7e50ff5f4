import type * as z from "zod";
import * as results from "../results/mod.ts";

/**
 * Checks the fields of a request.
 *
 * @param schema What they must be.
 * @param fields The fields.
 * @returns The checked fields, or `badParameters` naming the first wrong one.
 */
export function parseFields<T>(
  schema: z.ZodType<T>,
  fields: Readonly<Record<string, unknown>>,
): results.Result<T> {
  const parsed = schema.safeParse(fields);
  if (parsed.success) return results.createOk(parsed.data);
  const issue = parsed.error.issues[0];
  const path = issue?.path.join(".") || "body";
  return results.createFailure(
    "badParameters",
    `Cannot read the request: ${path}: ${issue?.message}`,
  );
}
