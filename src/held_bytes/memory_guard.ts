import * as v8 from "node:v8";
import type * as clocks from "../clock/mod.ts";
import * as collectGarbage from "./collect_garbage.ts";

/** Part of a machine's memory from which the process collects its garbage. */
const COLLECTED_FRACTION = 0.7;
/** Part of a machine's memory up to which new work is begun. */
const USABLE_FRACTION = 0.9;
/** Memory of a process outside the engine's heap and its buffers, in bytes. */
const PROCESS_BYTES = 25_000_000;
/** Shortest interval between two collections, in ms. */
const COLLECTION_INTERVAL_MS = 500;

/** Dependencies of a `MemoryGuard`. */
export interface MemoryGuardOptions {
  readonly clock: clocks.Clock;
  /** Most bytes that the process may use. */
  readonly maxBytes: number;
}

/**
 * Keeps garbage from filling a machine. The engine collects it when its own limits are
 * reached, and these are the same on machines of all sizes.
 */
export class MemoryGuard {
  readonly #options: MemoryGuardOptions;
  #collectedAtMs = Number.NEGATIVE_INFINITY;

  constructor(options: MemoryGuardOptions) {
    this.#options = options;
  }

  /** Collects garbage if the process uses much of its memory. */
  check(): void {
    const { clock, maxBytes } = this.#options;
    const nowMs = clock.getMonotonicMs();
    if (nowMs - this.#collectedAtMs < COLLECTION_INTERVAL_MS) return;
    const { total_heap_size: heap, external_memory: external } = v8
      .getHeapStatistics();
    if (heap + external < maxBytes * COLLECTED_FRACTION) return;
    this.#collect();
  }

  /** Tells whether so many more bytes fit, after garbage was collected if need be. */
  hasRoomFor(bytes: number): boolean {
    const maxUsedBytes = this.#options.maxBytes * USABLE_FRACTION - bytes;
    if (getUsedBytes() <= maxUsedBytes) return true;
    this.#collect();
    return getUsedBytes() <= maxUsedBytes;
  }

  #collect(): void {
    collectGarbage.collectAllGarbage();
    this.#collectedAtMs = this.#options.clock.getMonotonicMs();
  }
}

function getUsedBytes(): number {
  const { used_heap_size: heap, external_memory: external } = v8
    .getHeapStatistics();
  return heap + external + PROCESS_BYTES;
}
