/** An item that has not finished yet. */
export interface OpenItem<Work> {
  /** The caller's own object or key for the item, returned in the plan. */
  readonly work: Work;
  /** Expected remaining run time on an engine of usual speed, in ms. */
  readonly remainingMs: number;
  /** Whether it waits for a slot; false if it runs or no longer needs one. */
  readonly isWaiting: boolean;
}

/** A group with unfinished items. */
export interface OpenGroup<Work> {
  /**
   * Whether the group was carried over from an earlier step. The trainer always
   * waits for carried groups, however many others are complete.
   */
  readonly isCarried: boolean;
  /** Unfinished items of the group. */
  readonly items: readonly OpenItem<Work>[];
}

/** A step whose results its trainer still waits for. */
export interface OpenStep<Work> {
  /** Trainer name, shared by all steps of the trainer. */
  readonly trainer: string;
  /** Priority of its route; 0 is the most urgent. */
  readonly priority: number;
  /** When its groups are due, in ms on the clock of `ScheduleInput.nowMs`. */
  readonly dueMs: number;
  /** Number of complete groups. */
  readonly whole: number;
  /** Number of groups that the trainer still waits for. */
  readonly missing: number;
  /** Groups that are not complete, spare ones included. */
  readonly groups: readonly OpenGroup<Work>[];
}

/** Input of the scheduler. */
export interface ScheduleInput<Work> {
  readonly nowMs: number;
  /** Number of items that can run at once, in slots of usual speed. */
  readonly capacity: number;
  readonly steps: readonly OpenStep<Work>[];
}

/** Status of a group in a plan. */
export type GroupStatus =
  /** The trainer waits for it, and it is planned to complete in time. */
  | "inTime"
  /** The trainer waits for it, but capacity is too short for it. */
  | "late"
  /** The trainer has enough groups without it. */
  | "spare";

/** A waiting item in a plan. */
export interface PlannedItem<Work> {
  readonly work: Work;
  readonly status: GroupStatus;
  /** Latest start at which the item still finishes in time, in ms. */
  readonly latestStartMs: number;
}

/** Start order of the waiting items and the resulting status of groups. */
export interface StepPlan<Work> {
  /** Waiting items in start order. */
  readonly items: readonly PlannedItem<Work>[];
  /**
   * Number of groups by trainer and status; empty if items were ordered by latest
   * start alone.
   */
  readonly groupCounts: ReadonlyMap<
    string,
    Readonly<Record<GroupStatus, number>>
  >;
}

/** Scheduling policy. */
export type SchedulePolicy =
  /** Orders single items by latest start and ignores their groups. */
  | { readonly kind: "latestStart" }
  | {
    readonly kind: "groups";
    /** Whether groups that can't complete in time start after those that can. */
    readonly admits: boolean;
    /** Whether groups that the trainer does not wait for start last. */
    readonly defersSpare: boolean;
    /** Which group is dropped from the admitted ones if capacity is short. */
    readonly givesWay: DropRule;
  };

/** Selects the admitted group that is dropped when capacity is exceeded. */
export type DropRule =
  /** The one with the most remaining time, to keep the most groups in time. */
  | "largest"
  /** As above, weighted by priority and the trainer's share of groups in time. */
  | "weighed";

/** Defers late and spare groups when capacity is short; starves no trainer. */
export const DEFAULT_POLICY: SchedulePolicy = {
  kind: "groups",
  admits: true,
  defersSpare: true,
  givesWay: "weighed",
};
