import * as crypto from "node:crypto";

/**
 * Creates the seed of a replica's election delays: another one for each box and
 * each of its starts, so that no two boxes ask to lead at the same times in each
 * election.
 *
 * @param id Id of the box.
 * @param startMs When its process started, in ms.
 * @returns A whole number of 32 bits.
 */
export function createElectionSeed(id: string, startMs: number): number {
  return crypto.createHash("sha1").update(`${id} ${startMs}`).digest()
    .readInt32BE(0);
}
