import * as crypto from "node:crypto";

/**
 * Creates the seed of a replica's randomized election timeouts. It differs
 * between boxes and between starts of a box, so that replicas do not draw the
 * same timeouts and split the vote in every election.
 *
 * @param id Id of the box.
 * @param startMs Wall time of the process start, in ms since the epoch.
 * @returns A signed 32-bit integer.
 */
export function createElectionSeed(id: string, startMs: number): number {
  return crypto.createHash("sha1").update(`${id} ${startMs}`).digest()
    .readInt32BE(0);
}
