/** The newest weight version of a model that the system knows of. */
export interface ModelVersion {
  readonly model: string;
  readonly weightVersion: number;
  /** Configuration revision that last changed it. */
  readonly revision: number;
}

/**
 * Decides on a published version; a model never goes back.
 *
 * @param current What is known now, if anything.
 * @param weightVersion The published version.
 * @returns Whether it is news.
 */
export function isNewer(
  current: ModelVersion | undefined,
  weightVersion: number,
): boolean {
  return current === undefined || weightVersion > current.weightVersion;
}
