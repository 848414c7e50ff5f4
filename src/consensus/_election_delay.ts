import * as uniform from "pure-rand/distribution/uniformInt";
import * as generator from "pure-rand/generator/xoroshiro128plus";

/**
 * Numbers of a new generator that are passed over. The first ones follow from its
 * seed alone: each delay was the one before less 1 ms, and two replicas in 450
 * had equal ones for ever; left alone with each other they never elected a
 * leader (356 candidacies in 120 s on a fake clock).
 */
const DISCARDED_OUTPUTS = 24;
/** Keeps the seeds of two replicas apart for as many draws. */
const SEED_STRIDE = 7_919;

/**
 * Draws the time after which a replica asks to lead: one to two timeouts.
 *
 * @param seed Seed of the replica's delays.
 * @param draw Which of its delays, from 0.
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
