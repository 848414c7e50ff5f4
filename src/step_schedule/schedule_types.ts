/** An unfinished item of a group. */
export interface OpenItem<Work> {
  /** What the caller knows the item by. */
  readonly work: Work;
  /** Time that it is expected to run still, at an engine of usual speed, in ms. */
  readonly remainingMs: number;
  /** Whether it waits for a place; else it has one, or needs none any more. */
  readonly isWaiting: boolean;
}

/** A group that is not whole yet. */
export interface OpenGroup<Work> {
  /**
   * Whether an earlier step brought it already. The trainer waits for it
   * whichever other groups are whole.
   */
  readonly isCarried: boolean;
  /** Its unfinished items. */
  readonly items: readonly OpenItem<Work>[];
}

/** A step that its trainer waits for. */
export interface OpenStep<Work> {
  /** Steps of one trainer share this name. */
  readonly trainer: string;
  /** Urgency of its route; 0 goes first. */
  readonly priority: number;
  /** When its groups are due, in ms of the situation's clock. */
  readonly dueMs: number;
  /** Groups that are whole. */
  readonly whole: number;
  /** Groups that the trainer still waits for. */
  readonly missing: number;
  readonly groups: readonly OpenGroup<Work>[];
}

/** What a plan is made from. */
export interface ScheduleInput<Work> {
  readonly nowMs: number;
  /** Runs that go on at once at the usual speed. */
  readonly capacity: number;
  readonly steps: readonly OpenStep<Work>[];
}

/** How a plan sees a group. */
export type GroupStatus =
  /** The trainer waits for it, and there is room to have it whole in time. */
  | "inTime"
  /** The trainer waits for it, but room is short: it comes late. */
  | "late"
  /** The trainer has enough groups without it. */
  | "spare";

/** An item that waits for a place. */
export interface PlannedItem<Work> {
  readonly work: Work;
  readonly status: GroupStatus;
  /** When it should start for its group to end as planned, in ms. */
  readonly latestStartMs: number;
}

/** In which order items start, and what that means for their groups. */
export interface StepPlan<Work> {
  /** Waiting items, first to start first. */
  readonly items: readonly PlannedItem<Work>[];
  /** Groups by standing, by trainer. */
  readonly groupCounts: ReadonlyMap<
    string,
    Readonly<Record<GroupStatus, number>>
  >;
}

/** Ways to plan; all but the first know groups. */
export type SchedulePolicy =
  /** Single items by their latest start, whatever group they are of. */
  | { readonly kind: "latestStart" }
  | {
    readonly kind: "groups";
    /** Whether groups that can't be in time give way to those that can. */
    readonly admits: boolean;
    /** Whether groups that the trainer does not wait for come last. */
    readonly defersSpare: boolean;
    /** Who gives way when room is short. */
    readonly givesWay: DropRule;
  };

/** Which group gives way when room is short. */
export type DropRule =
  /** That with most work, so that as many as possible are in time. */
  | "largest"
  /** The same, weighed by urgency and by how well its trainer is served. */
  | "weighed";

/** The way that served most groups in replays without starving a trainer. */
export const DEFAULT_POLICY: SchedulePolicy = {
  kind: "groups",
  admits: true,
  defersSpare: true,
  givesWay: "weighed",
};
