import * as d3 from "d3-random";
import * as distribution from "pure-rand/distribution/uniformFloat64";
import * as generator from "pure-rand/generator/xoroshiro128plus";
import * as zlib from "node:zlib";

/** Shape of the answer lengths: log-normal, so a few are far longer. */
export interface LengthDistribution {
  /** Median length, in tokens. */
  readonly median: number;
  /** Standard deviation of the logarithm. */
  readonly sigma: number;
}

/**
 * Gives the length of the answer to a prompt; the same for the same prompt on
 * every engine.
 *
 * @param prompt The prompt.
 * @param maxTokens Longest answer, in tokens.
 * @param distribution Shape of the lengths.
 * @returns Length, in tokens, at least 1.
 */
export function getAnswerLength(
  prompt: string,
  maxTokens: number,
  lengths: LengthDistribution,
): number {
  const random = generator.xoroshiro128plus(zlib.crc32(prompt));
  const draw = d3.randomLogNormal.source(() =>
    distribution.uniformFloat64(random)
  )(Math.log(lengths.median), lengths.sigma);
  return Math.max(1, Math.min(maxTokens, Math.round(draw())));
}
