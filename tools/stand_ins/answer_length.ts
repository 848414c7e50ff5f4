import * as d3 from "d3-random";
import * as distribution from "pure-rand/distribution/uniformFloat64";
import * as generator from "pure-rand/generator/xoroshiro128plus";
import * as zlib from "node:zlib";

/** Log-normal distribution of answer lengths. */
export interface LengthDistribution {
  /** Median length, in tokens. */
  readonly median: number;
  /** Standard deviation of the natural logarithm of the length. */
  readonly sigma: number;
}

/**
 * Draws the length of the answer to a prompt. The draw is seeded by the prompt,
 * so that every engine gives the same length.
 *
 * @param prompt The prompt.
 * @param maxTokens Upper limit of the length, in tokens.
 * @param lengths Distribution of the lengths.
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
