import type * as clocks from "../clock/mod.ts";
import type * as stateMachines from "./state_machine.ts";
import type * as messages from "./message.ts";
import type * as notices from "./replica_notice.ts";
import type * as replicaStates from "./replica_state.ts";

/**
 * Receives the commands that follow the snapshot in a log read from the disk,
 * oldest first. It isn't known yet which of them were committed.
 */
export type LogReadHandler = (commands: readonly unknown[]) => void;

/** Options of a replica driver. */
export interface ReplicaDriverOptions {
  readonly config: replicaStates.ReplicaConfig;
  readonly clock: clocks.Clock;
  readonly dataFolder: string;
  readonly stateMachine: stateMachines.StateMachine;
  /** Number of log entries after which a snapshot is taken. */
  readonly snapshotEntries: number;
  /** Sends a message to a replica; delivery isn't guaranteed. */
  readonly send: (to: string, message: messages.DriverMessage) => void;
  /** Receives the commands of the log when it is opened; see `LogReadHandler`. */
  readonly onLogRead?: LogReadHandler;
  /** Receives notices for the log. */
  readonly onNotice?: notices.NoticeHandler;
  /** Called on an unexpected error, such as a failed write; must end the process. */
  readonly onFatal: (error: unknown) => void;
}
