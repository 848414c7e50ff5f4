/** What decides which version an engine should hold. */
export interface VersionPlanInput {
  /** Newest named version. */
  readonly newest: number;
  /** Versions that a new step may lag behind the newest. */
  readonly lag: number;
  /** Even or odd versions, by whether this is; see the turns of engines. */
  readonly parity: number;
}

/**
 * Plans the version of one engine. Where steps may lag by a version, engines
 * take turns: half load the odd versions, half the even ones. Each version is
 * then ready at half the engines at once, each engine stops half as often, and
 * all engines may serve every step.
 *
 * @param input What decides.
 * @returns The oldest version that the engine should hold.
 */
export function planVersion(input: VersionPlanInput): number {
  const { newest, lag, parity: parity } = input;
  if (lag < 1) return newest;
  const isOwnVersion = (newest + parity) % 2 === 0;
  return isOwnVersion ? newest : newest - 1;
}
