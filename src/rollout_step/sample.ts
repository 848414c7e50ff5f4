import type * as templates from "../rollout_template/mod.ts";

/** A run of tokens that one weight version produced. */
export interface VersionSpan {
  readonly weightVersion: number;
  /** Position of the first token, from 0. */
  readonly start: number;
  /** Position after the last token. */
  readonly end: number;
}

/** A generated and scored sample. */
export interface Sample {
  readonly sampleId: string;
  readonly slot: number;
  readonly tokens: readonly number[];
  /** Covers all tokens in order, without gaps. */
  readonly spans: readonly VersionSpan[];
  readonly score: number;
  /** Age of the oldest token when the sample was offered, in ms. */
  readonly ageMs: number;
}

/** Time that handing over may take after the check, in ms. */
export const DELIVERY_MARGIN_MS = 500;

/**
 * Gives the oldest weight version in a sample.
 *
 * @param sample The sample.
 * @returns The version; 0 for a sample without tokens.
 */
export function getOldestVersion(sample: Sample): number {
  if (sample.spans.length === 0) return 0;
  return Math.min(...sample.spans.map((span) => span.weightVersion));
}

/**
 * Tells whether a sample is fresh enough to be handed over.
 *
 * @param sample The sample.
 * @param currentVersion The trainer's weight version.
 * @param bound The bound in force.
 * @returns Whether it is within the bound, with a margin for the handover.
 */
export function isFresh(
  sample: Sample,
  currentVersion: number,
  bound: templates.StalenessBound,
): boolean {
  const versionLag = currentVersion - getOldestVersion(sample);
  return versionLag <= bound.versions &&
    sample.ageMs + DELIVERY_MARGIN_MS <= bound.ageMs;
}

/**
 * Adds a token to spans, extending the last span where the version is its.
 *
 * @param spans The spans so far.
 * @param weightVersion Version that produced the token.
 * @returns The spans with one more token.
 */
export function appendToken(
  spans: readonly VersionSpan[],
  weightVersion: number,
): readonly VersionSpan[] {
  const last = spans.at(-1);
  if (last === undefined) return [{ weightVersion, start: 0, end: 1 }];
  if (last.weightVersion !== weightVersion) {
    return [...spans, { weightVersion, start: last.end, end: last.end + 1 }];
  }
  return [...spans.slice(0, -1), { ...last, end: last.end + 1 }];
}
