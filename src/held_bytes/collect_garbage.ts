import * as v8 from "node:v8";
import * as vm from "node:vm";

type Collector = (options?: { readonly type: "minor" }) => void;

let collector: Collector | undefined;

/** Returns the engine's collector, which no module exports without a flag. */
function getCollector(): Collector {
  if (collector !== undefined) return collector;
  v8.setFlagsFromString("--expose-gc");
  collector = vm.runInNewContext("gc") as Collector;
  return collector;
}

/**
 * Collects all garbage. Without options that is exact, while a "major" collection ends
 * one that is under way, which keeps what was allocated meanwhile. The memory of buffers
 * is returned in the background then; the second, short collection waits for that.
 */
export function collectAllGarbage(): void {
  getCollector()();
  getCollector()({ type: "minor" });
}

/** Collects recent garbage, as pieces of bodies that were copied. */
export function collectRecentGarbage(): void {
  getCollector()({ type: "minor" });
}

/** Size of a message, in bytes, from which its copies are collected at once. */
export const LARGE_MESSAGE_BYTES = 8 * 1024 * 1024;

/**
 * Collects garbage after a large message was converted, in the next turn of the event
 * loop, when nothing refers to the earlier form any more.
 *
 * @param bytes Size of the message.
 * @returns Resolves when that is done; at once after a message that is not large.
 */
export function collectAfterMessage(bytes: number): Promise<void> {
  if (bytes < LARGE_MESSAGE_BYTES) return Promise.resolve();
  return new Promise((resolve) =>
    setImmediate(() => {
      collectAllGarbage();
      resolve();
    })
  );
}
