import type * as clocks from "../clock/mod.ts";
import type * as csp from "../csp/mod.ts";
import type * as durableWriters from "./_durable_writer.ts";
import type * as logCutters from "./_log_compactor.ts";
import * as savedRecords from "./_saved_record.ts";
import type * as messages from "./message.ts";
import type * as notices from "./replica_notice.ts";
import type * as replicaStates from "./replica_state.ts";

/** Dependencies of an `EffectPersister`. */
export interface EffectPersisterOptions {
  readonly clock: clocks.Clock;
  readonly writer: durableWriters.DurableWriter;
  readonly compactor: logCutters.LogCompactor;
  readonly onNotice?: notices.NoticeHandler;
}

/** Saves the effects of a batch before any of its messages is sent. */
export class EffectPersister {
  readonly #options: EffectPersisterOptions;

  constructor(options: EffectPersisterOptions) {
    this.#options = options;
  }

  /**
   * Saves what effects change on the disk.
   *
   * @param effects The effects of a batch.
   * @param state The state after them.
   */
  *persist(
    effects: readonly replicaStates.Effect[],
    state: replicaStates.ReplicaState,
  ): csp.Step<void> {
    const restoreIndex = effects.findLastIndex((effect) =>
      effect.kind === "restore"
    );
    const rest = effects.slice(restoreIndex + 1);
    const restoreEffect = effects[restoreIndex];
    if (restoreEffect?.kind === "restore") {
      const isAdmittedLater = rest.some(({ kind }) => kind === "saveIdentity");
      yield* this.#persistSnapshot(
        restoreEffect.snapshot,
        state,
        isAdmittedLater,
      );
    }
    const records = rest.flatMap(savedRecords.toRecords);
    if (records.length > 0) yield* this.#options.writer.append(records);
  }

  /**
   * Replaces the log with a snapshot. An admission in the same batch is saved only
   * afterwards: a power failure must not leave a voter without committed entries.
   */
  *#persistSnapshot(
    snapshot: messages.Snapshot,
    state: replicaStates.ReplicaState,
    isAdmittedLater: boolean,
  ): csp.Step<void> {
    const { clock, compactor, onNotice } = this.#options;
    const startMs = clock.getMonotonicMs();
    const { identity } = state;
    const isAdmitted = identity.isAdmitted && !isAdmittedLater;
    yield* compactor.restore(snapshot, {
      ...state,
      identity: { ...identity, isAdmitted },
    });
    onNotice?.({
      kind: "snapshotTaken",
      index: snapshot.index,
      parts: snapshot.state.length,
      tookMs: Math.round(clock.getMonotonicMs() - startMs),
    });
  }
}
