import * as uniform from "pure-rand/distribution/uniformInt";
import * as generator from "pure-rand/generator/xoroshiro128plus";

/**
 * Outputs of a new generator that are discarded. The first outputs of similar seeds
 * are correlated; replicas with equal delays would split the vote every time.
 */
const DISCARDED_OUTPUTS = 24;
/** Distance between the seed ranges of two replicas, in draws. */
const SEED_STRIDE = 7_919;

/**
 * Draws a random election delay of one to two election timeouts.
 *
 * @param seed Seed of the replica; must differ between replicas.
 * @param draw Number of the draw, from 0.
 * @param timeoutMs The election timeout, in ms.
 * @returns The delay, in ms.
 */
export function drawDelay(
  seed: number,
  draw: number,
  timeoutMs: number,
): number {
  const random = generator.xoroshiro128plus(seed * SEED_STRIDE + draw);
  for (let index = 0; index < DISCARDED_OUTPUTS; index += 1) random.next();
  return timeoutMs + uniform.uniformInt(random, 0, timeoutMs);
}
