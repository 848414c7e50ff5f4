import * as v8 from "node:v8";
import * as vm from "node:vm";

type Collector = (options?: { readonly type: "minor" | "major" }) => void;

let collector: Collector | undefined;

/** Returns the engine's collector, which no module exports without a flag. */
function getCollector(): Collector {
  if (collector !== undefined) return collector;
  v8.setFlagsFromString("--expose-gc");
  collector = vm.runInNewContext("gc") as Collector;
  return collector;
}

/** Collects all garbage, so that the memory of released buffers is returned. */
export function collectAllGarbage(): void {
  getCollector()({ type: "major" });
}

/** Collects recent garbage, as pieces of bodies that were copied. */
export function collectRecentGarbage(): void {
  getCollector()({ type: "minor" });
}
