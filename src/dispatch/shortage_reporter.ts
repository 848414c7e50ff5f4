import type * as clocks from "../clock/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import type * as stepSchedule from "../step_schedule/mod.ts";

const NO_GROUPS = { inTime: 0, late: 0, spare: 0 } as const;
/** Minimum interval between log entries about the same trainer, in ms. */
const LOG_INTERVAL_MS = 2_000;

/** Options of a shortage reporter. */
export interface ShortageReporterOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly metrics: metrics.FleetMetrics;
}

/** Reports trainers whose groups will be late for lack of capacity. */
export class ShortageReporter {
  readonly #options: ShortageReporterOptions;
  readonly #loggedAtMs = new Map<string, number>();
  /** Trainers in the last reported plan, by service. */
  readonly #trainersByService = new Map<string, ReadonlySet<string>>();

  constructor(options: ShortageReporterOptions) {
    this.#options = options;
  }

  /**
   * Updates the metrics of planned groups and logs trainers with late ones.
   *
   * @param service Service of the plan.
   * @param plan The plan.
   * @param capacity Capacity the plan was made for, in slots at median speed.
   */
  reportPlan(
    service: string,
    plan: stepSchedule.StepPlan<unknown>,
    capacity: number,
  ): void {
    const { metrics } = this.#options;
    for (const trainer of this.#trainersByService.get(service) ?? []) {
      if (plan.groupCounts.has(trainer)) continue;
      metrics.setPlannedGroups(trainer, NO_GROUPS);
    }
    this.#trainersByService.set(service, new Set(plan.groupCounts.keys()));
    for (const [trainer, groups] of plan.groupCounts) {
      metrics.setPlannedGroups(trainer, groups);
      if (groups.late > 0) {
        this.#reportShortage(service, trainer, groups, capacity);
      }
    }
  }

  #reportShortage(
    service: string,
    trainer: string,
    groups: Readonly<Record<stepSchedule.GroupStatus, number>>,
    capacity: number,
  ): void {
    const { clock, log } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const loggedAtMs = this.#loggedAtMs.get(trainer) ??
      Number.NEGATIVE_INFINITY;
    if (nowMs - loggedAtMs < LOG_INTERVAL_MS) return;
    this.#loggedAtMs.set(trainer, nowMs);
    log.write("info", "steps.short", {
      service,
      trainer,
      ...groups,
      places: Math.round(capacity),
    });
  }
}
