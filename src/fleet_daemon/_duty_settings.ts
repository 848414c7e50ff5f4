import type * as fleetSettings from "../fleet_settings/mod.ts";
import type * as capacity from "../capacity/mod.ts";
import type * as usages from "../usage/mod.ts";

const MS_PER_SECOND = 1_000;
/** Name of the duty to order engines. */
const AUTOSCALING_DUTY = "autoscaling";
/** Name of the duty to report usage. */
const USAGE_REPORTING_DUTY = "usage_reporting";

/**
 * Gives the windows in which usage is reported.
 *
 * @param settings Settings of the box.
 * @returns The windows; undefined where no report is asked for.
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
 * Gives the policy by which engines are ordered.
 *
 * @param settings Settings of the box.
 * @returns The policy; undefined where none are.
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
