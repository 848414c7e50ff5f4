import type * as z from "zod";
import * as results from "../results/mod.ts";

/**
 * Validates the fields of a request against a schema.
 *
 * @param schema The schema.
 * @param fields The fields.
 * @returns The parsed fields, or `badParameters` with the first invalid field.
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
