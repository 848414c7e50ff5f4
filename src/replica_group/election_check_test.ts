import type * as disks from "./simulated_disk_test.ts";

/** Summaries of disks by the ids of their boxes. */
export type Disks = ReadonlyMap<string, disks.DiskSummary>;

function isUpToDate(
  candidate: disks.DiskSummary,
  voter: disks.DiskSummary,
): boolean {
  if (candidate.lastTerm !== voter.lastTerm) {
    return candidate.lastTerm > voter.lastTerm;
  }
  return candidate.lastIndex >= voter.lastIndex;
}

function canWin(id: string, all: Disks): boolean {
  const candidate = all.get(id);
  if (candidate?.isAdmitted !== true) return false;
  const { voters } = candidate;
  if (!voters.includes(id)) return false;
  const votes = voters.filter((other) => {
    const voter = all.get(other);
    return voter?.isAdmitted === true && isUpToDate(candidate, voter);
  });
  return votes.length > voters.length / 2;
}

/** Whether some replica can win an election with what is synced on the disks. */
export function canElect(all: Disks): boolean {
  return [...all.keys()].some((id) => canWin(id, all));
}

/**
 * Finds a box whose disk is a single point of failure: without it, no leader
 * can be elected.
 *
 * @param all Summaries of the disks of all boxes.
 * @returns The id of the first such box, or undefined.
 */
export function findFatalLoss(all: Disks): string | undefined {
  return [...all.keys()].find((id) =>
    !canElect(new Map([...all].filter(([other]) => other !== id)))
  );
}

/** Describes the voters, admission and last log position of each disk. */
export function describeDisks(all: Disks): string {
  return [...all].map(([id, disk]) =>
    `${id} of [${disk.voters.join(",")}] ` +
    `${disk.isAdmitted ? "admitted" : "NOT ADMITTED"} ` +
    `${disk.lastTerm}.${disk.lastIndex}`
  ).join("; ");
}
