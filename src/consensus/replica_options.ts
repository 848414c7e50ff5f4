import type * as clocks from "../clock/mod.ts";
import type * as stateMachines from "./state_machine.ts";
import type * as messages from "./message.ts";
import type * as notices from "./replica_notice.ts";
import type * as replicaStates from "./replica_state.ts";

/** What a driver needs. */
export interface ReplicaDriverOptions {
  readonly config: replicaStates.ReplicaConfig;
  readonly clock: clocks.Clock;
  readonly dataFolder: string;
  readonly stateMachine: stateMachines.StateMachine;
  /** Log entries after which a snapshot is taken. */
  readonly snapshotEntries: number;
  /** Sends a message; it may be lost. */
  readonly send: (to: string, message: messages.DriverMessage) => void;
  /** Told of what explains the group afterwards. */
  readonly onNotice?: notices.NoticeHandler;
  /** Told of a failed write; the process must end. */
  readonly onFatal: (error: unknown) => void;
}
