import type * as clocks from "../clock/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as metrics from "../metrics/mod.ts";
import type * as stepSchedule from "../step_schedule/mod.ts";

const NO_GROUPS = { inTime: 0, late: 0, spare: 0 } as const;
/** Between two lines about a trainer whose groups come late, in ms. */
const LOG_MS = 2_000;

/** What a shortage watch needs. */
export interface ShortageWatchOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly metrics: metrics.FleetMetrics;
}

/** Tells operators which trainers' groups give way for want of room. */
export class ShortageWatch {
  readonly #options: ShortageWatchOptions;
  readonly #toldAtMs = new Map<string, number>();
  /** Trainers whose groups were planned while room was short, by service. */
  readonly #planned = new Map<string, ReadonlySet<string>>();

  constructor(options: ShortageWatchOptions) {
    this.#options = options;
  }

  /** Notes a plan and the places that it had. */
  note(
    service: string,
    plan: stepSchedule.StepPlan<unknown>,
    places: number,
  ): void {
    const { metrics } = this.#options;
    for (const trainer of this.#planned.get(service) ?? []) {
      if (plan.groupCounts.has(trainer)) continue;
      metrics.setPlannedGroups(trainer, NO_GROUPS);
    }
    this.#planned.set(service, new Set(plan.groupCounts.keys()));
    for (const [trainer, groups] of plan.groupCounts) {
      metrics.setPlannedGroups(trainer, groups);
      if (groups.late > 0) this.#tell(service, trainer, groups, places);
    }
  }

  #tell(
    service: string,
    trainer: string,
    groups: Readonly<Record<stepSchedule.GroupStatus, number>>,
    places: number,
  ): void {
    const { clock, log } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const toldAtMs = this.#toldAtMs.get(trainer) ?? Number.NEGATIVE_INFINITY;
    if (nowMs - toldAtMs < LOG_MS) return;
    this.#toldAtMs.set(trainer, nowMs);
    log.write("info", "steps.short", {
      service,
      trainer,
      ...groups,
      places: Math.round(places),
    });
  }
}
