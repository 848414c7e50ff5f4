import * as storage from "../storage/mod.ts";
import * as savedRecords from "./_saved_record.ts";
import * as replicaLogs from "./replica_log.ts";
import type * as notices from "./replica_notice.ts";
import type * as replicaOptions from "./replica_options.ts";
import type * as replicaStates from "./replica_state.ts";
import * as replicaStatuses from "./replica_status.ts";
import * as stepReplica from "./step_replica.ts";

/** A replica as loaded from its data folder. */
export interface OpenedReplica {
  readonly log: storage.DurableLog;
  readonly state: replicaStates.ReplicaState;
}

/**
 * Opens a data folder and restores the state machine from the snapshot in it. An
 * empty folder is given an identity.
 *
 * @throws FailureError `corruptLog` or `wrongFolder`.
 */
export async function openReplica(
  options: replicaOptions.ReplicaDriverOptions,
): Promise<OpenedReplica> {
  const { config, clock, dataFolder, stateMachine: machine } = options;
  const { log, loaded } = await storage.DurableLog.open(dataFolder, config.id);
  const snapshot = savedRecords.toSnapshot(loaded.snapshot);
  const records = loaded.records as readonly savedRecords.SavedRecord[];
  const initial = savedRecords.createInitialRecords(records, clock.getWallMs());
  await log.append(initial);
  if (snapshot !== undefined) machine.restore(snapshot.state);
  const saved = savedRecords.rebuildReplica(snapshot, [...records, ...initial]);
  const nowMs = clock.getMonotonicMs();
  const state = stepReplica.createReplica(config, saved, nowMs);
  options.onLogRead?.(state.log.entries.map(({ command }) => command));
  options.onNotice?.(describeOpened(state, loaded.tornBytes));
  return { log, state };
}

function describeOpened(
  state: replicaStates.ReplicaState,
  tornBytes: number,
): notices.ReplicaNotice {
  const { config, identity, term, votedFor, log } = state;
  const lastIndex = replicaLogs.getLastIndex(log);
  return {
    kind: "opened",
    id: config.id,
    identity,
    term,
    votedFor,
    set: replicaStatuses.describeVoterSet(state),
    snapshotIndex: log.snapshotIndex,
    lastIndex,
    lastTerm: replicaLogs.getTermAt(log, lastIndex) ?? 0,
    tornBytes,
  };
}
