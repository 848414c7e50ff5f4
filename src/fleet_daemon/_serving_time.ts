import type * as clocks from "../clock/mod.ts";
import type * as boxComponents from "./box_components.ts";

/** Clock and status of a box that may be stopping. */
export interface ServingBox {
  readonly clock: clocks.Clock;
  readonly status: Pick<boxComponents.BoxStatus, "servesUntilMs">;
}

/** Returns how long a box still serves, in ms; infinite if it is not stopping. */
export function getServingTimeMs({ clock, status }: ServingBox): number {
  return status.servesUntilMs - clock.getMonotonicMs();
}
