import * as storage from "../storage/mod.ts";
import * as savedRecords from "./_saved_record.ts";
import type * as replicaOptions from "./replica_options.ts";
import type * as replicaStates from "./replica_state.ts";
import * as stepReplica from "./step_replica.ts";

/** A replica as its data folder holds it. */
export interface OpenedReplica {
  readonly log: storage.DurableLog;
  readonly state: replicaStates.ReplicaState;
}

/**
 * Opens a data folder, and gives the machine the state that is saved there.
 *
 * @throws FailureError `corruptLog` or `wrongFolder`.
 */
export async function openReplica(
  options: replicaOptions.ReplicaDriverOptions,
): Promise<OpenedReplica> {
  const { config, clock, dataFolder, machine } = options;
  const { log, loaded } = await storage.DurableLog.open(dataFolder, config.id);
  const snapshot = savedRecords.toSnapshot(loaded.snapshot);
  const records = loaded.records as readonly savedRecords.SavedRecord[];
  const made = savedRecords.createFirst(records, clock.getWallMs());
  await log.append(made);
  if (snapshot !== undefined) machine.restore(snapshot.state);
  const saved = savedRecords.rebuildReplica(snapshot, [...records, ...made]);
  const nowMs = clock.getMonotonicMs();
  return { log, state: stepReplica.createReplica(config, saved, nowMs) };
}
