/** Input of the version plan for one engine and model. */
export interface VersionPlanInput {
  /** Newest named version. */
  readonly newest: number;
  /** Versions that a new step may lag behind the newest. */
  readonly lag: number;
  /** Parity of the versions that the engine loads; only odd or even counts. */
  readonly parity: number;
}

/**
 * Plans the version of one engine. Where steps may lag by one version, half of
 * the engines load the even versions and half the odd ones. Each engine then
 * pauses for a load half as often, and every engine can serve every step.
 *
 * @param input Newest version, permitted lag and parity of the engine.
 * @returns The oldest version that the engine should hold.
 */
export function planVersion(input: VersionPlanInput): number {
  const { newest, lag, parity } = input;
  if (lag < 1) return newest;
  const isOwnVersion = (newest + parity) % 2 === 0;
  return isOwnVersion ? newest : newest - 1;
}
