import * as results from "../results/mod.ts";
import * as storage from "../storage/mod.ts";
import * as savedRecords from "./_saved_record.ts";

/** What a data folder is made for. */
export interface DataFolderOptions {
  readonly folder: string;
  /** Id of the box. */
  readonly owner: string;
  /** Wall time, in ms; it becomes the replica's incarnation. */
  readonly wallMs: number;
  /** Voters of the set; undefined where the settings of each box name them. */
  readonly voters?: readonly string[];
}

/**
 * Makes the data folder of a replica for the first start of its replica set,
 * where no replica has acknowledged anything. A replica that starts without
 * this is new: it counts in no quorum until a leader brought it up to date.
 *
 * @param options The folder.
 * @returns Ok, or `wrongFolder` if the folder is in use.
 * @throws FailureError `corruptLog` or `wrongFolder`.
 */
export async function initializeDataFolder(
  options: DataFolderOptions,
): Promise<results.Result<undefined>> {
  const { folder, owner, wallMs, voters } = options;
  const { log, loaded } = await storage.DurableLog.open(folder, owner);
  const isInUse = loaded.records.length > 0 || loaded.snapshot !== undefined;
  if (!isInUse) {
    const identity = { incarnation: wallMs, isAdmitted: true };
    await log.append(
      voters === undefined
        ? [{ kind: "identity", identity }]
        : savedRecords.createBootstrapRecords(voters, wallMs),
    );
  }
  await log.close();
  if (!isInUse) return results.createOk(undefined);
  return results.createFailure(
    "wrongFolder",
    `Cannot make the data folder: ${folder} is in use`,
  );
}
