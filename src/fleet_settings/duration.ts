import * as z from "zod";

const MS_PER_SECOND = 1_000;
const SECONDS_FORMAT = /^\d+(?:\.\d+)?s$/;

function toMs(seconds: string): number {
  return Math.round(Number(seconds.slice(0, -1)) * MS_PER_SECOND);
}

/**
 * Creates the schema of a positive duration: a number of ms, or a text in seconds
 * such as `60.5s`.
 *
 * @param description What the duration is for.
 */
export function createDurationSchema(description: string) {
  return z.union([
    z.number(),
    z.string().regex(SECONDS_FORMAT).transform(toMs),
  ]).pipe(z.number().positive()).describe(description);
}
