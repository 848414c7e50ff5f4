import type * as ledgers from "../stand_ins/ledger.ts";

const TOKENS_PER_SEGMENT = 100_000;

/** Segments by the block that their token ids come from. */
export interface TokenIndex {
  readonly segments: ReadonlyMap<number, ledgers.SegmentEntry>;
}

/**
 * Builds an index from token ids to what an engine really ran.
 *
 * @param segments The engines' own entries.
 * @returns The index.
 */
export function buildTokenIndex(
  segments: readonly ledgers.SegmentEntry[],
): TokenIndex {
  return {
    segments: new Map(
      segments.map((
        segment,
      ) => [segment.firstToken / TOKENS_PER_SEGMENT, segment]),
    ),
  };
}

/**
 * Finds the segment that a token came from.
 *
 * @param index The index.
 * @param token Id of the token.
 * @returns The segment, or undefined if no engine generated the token.
 */
export function findSegment(
  index: TokenIndex,
  token: number,
): ledgers.SegmentEntry | undefined {
  return index.segments.get(Math.floor(token / TOKENS_PER_SEGMENT));
}
