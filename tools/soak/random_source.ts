import * as uniform from "pure-rand/distribution/uniformInt";
import * as generator from "pure-rand/generator/xoroshiro128plus";

/** Seeded pseudo-random number generator. */
export class RandomSource {
  readonly #random: ReturnType<typeof generator.xoroshiro128plus>;

  constructor(seed: number) {
    this.#random = generator.xoroshiro128plus(seed);
  }

  /** Draws an integer from a range; both bounds are inclusive. */
  drawInteger(from: number, to: number): number {
    return uniform.uniformInt(this.#random, from, to);
  }

  pick<T>(values: readonly T[]): T {
    return values[this.drawInteger(0, values.length - 1)] as T;
  }
}
