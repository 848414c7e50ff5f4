/** The newest known weight version of a model. */
export interface ModelVersion {
  readonly model: string;
  readonly weightVersion: number;
  /** Configuration revision of the last change. */
  readonly revision: number;
}

/**
 * Tells whether a published version supersedes the newest known one.
 *
 * @param current The newest known version; undefined for a new model.
 * @param weightVersion The published version.
 * @returns Whether the published version is newer.
 */
export function isNewer(
  current: ModelVersion | undefined,
  weightVersion: number,
): boolean {
  return current === undefined || weightVersion > current.weightVersion;
}
