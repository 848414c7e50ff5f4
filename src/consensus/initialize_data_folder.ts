import * as results from "../results/mod.ts";
import * as storage from "../storage/mod.ts";
import * as savedRecords from "./_saved_record.ts";

/** Options of a new data folder. */
export interface DataFolderOptions {
  readonly folder: string;
  /** Id of the box. */
  readonly owner: string;
  /** Wall-clock time, in ms; used as the replica's incarnation. */
  readonly wallMs: number;
  /** Initial voters; undefined if the settings of each box name them. */
  readonly voters?: readonly string[];
  /** Id of the group that the voters found. */
  readonly groupId?: string;
}

/**
 * Initializes the data folder of a replica for the first start of its replica
 * set, when no replica has acknowledged any entry. A replica that starts with an
 * uninitialized folder doesn't count toward a quorum until it has caught up with
 * a leader.
 *
 * @param options Options of the folder.
 * @returns Ok, or `wrongFolder` if the folder is in use.
 * @throws FailureError `corruptLog` or `wrongFolder`.
 */
export async function initializeDataFolder(
  options: DataFolderOptions,
): Promise<results.Result<undefined>> {
  const { folder, owner, wallMs, voters, groupId } = options;
  const { log, loaded } = await storage.DurableLog.open(folder, owner);
  const isInUse = loaded.records.length > 0 || loaded.snapshot !== undefined;
  if (!isInUse) {
    const identity = { incarnation: wallMs, isAdmitted: true };
    await log.append(
      voters === undefined
        ? [{ kind: "identity", identity }]
        : savedRecords.createBootstrapRecords(voters, wallMs, groupId),
    );
  }
  await log.close();
  if (!isInUse) return results.createOk(undefined);
  return results.createFailure(
    "wrongFolder",
    `Cannot make the data folder: ${folder} is in use`,
  );
}
