const SEED_FACTOR = 31;
const SEED_MODULUS = 1_000_003;

/** Spreads the election delays of replicas by their ids. */
export function createSeed(id: string): number {
  return Buffer.from(id).reduce(
    (sum, byte) => (sum * SEED_FACTOR + byte) % SEED_MODULUS,
    1,
  );
}
