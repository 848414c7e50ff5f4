import type * as fleetSettings from "../fleet_settings/mod.ts";
import type * as capacity from "../capacity/mod.ts";
import type * as usages from "../usage/mod.ts";

const MS_PER_SECOND = 1_000;
/** Duty of the infrastructure settings that lets boxes order engines. */
const AUTOSCALING_DUTY = "autoscaling";
/** Duty of the infrastructure settings that lets boxes report usage. */
const USAGE_REPORTING_DUTY = "usage_reporting";

/**
 * Reads the timings of usage reports from the settings.
 *
 * @param settings Settings of the box.
 * @returns Length and lateness of the windows, in ms; undefined if usage
 * reporting is not enabled.
 */
export function getUsageTimings(
  settings: fleetSettings.FleetSettings,
): usages.WindowTimings | undefined {
  const { usageWindowS, usageLateS } = settings.bounds;
  const isEnabled = settings.infrastructure?.duties.includes(
    USAGE_REPORTING_DUTY,
  );
  if (!isEnabled || usageWindowS === undefined || usageLateS === undefined) {
    return undefined;
  }
  return {
    windowMs: usageWindowS * MS_PER_SECOND,
    reportDelayMs: usageLateS * MS_PER_SECOND,
  };
}

/**
 * Reads the autoscaling policy from the settings.
 *
 * @param settings Settings of the box.
 * @returns The policy; undefined if autoscaling is off or not a duty of the
 * fleet.
 */
export function getCapacityPolicy(
  settings: fleetSettings.FleetSettings,
): capacity.CapacityPolicy | undefined {
  const { policy, headroom } = settings.capacity;
  if (!settings.infrastructure?.duties.includes(AUTOSCALING_DUTY)) {
    return undefined;
  }
  switch (policy) {
    case "off":
      return undefined;
    case "fixed":
      return { kind: "fixed" };
    case "planned":
      return { kind: "planned", headroom };
  }
}
