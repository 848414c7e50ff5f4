import * as collectGarbage from "./collect_garbage.ts";

/** Default of the most bytes that a process holds. */
const DEFAULT_MAX_HELD_BYTES = 48 * 1024 * 1024;
/** Most bytes of a holder that is spared while the reserve lasts. */
const MAX_SMALL_BYTES = 64 * 1024;
/** Part of the limit up to which a holder counts as small. */
const SMALL_FRACTION = 1 / 512;
/** Part of the limit, beyond it, that only small holders may take up. */
const RESERVED_FRACTION = 0.25;
/** Part of the limit that uncollected garbage may take up beyond it. */
const GARBAGE_FRACTION = 0.125;
/** Bytes of copied pieces after which recent garbage is collected. */
const COPIED_BYTES_PER_COLLECTION = 8 * 1024 * 1024;

/** A request or a response whose bytes are held. */
export interface ByteHolder {
  /** Gives it up; called at most once. */
  abort(): void;
}

interface Holding {
  readonly bytes: number;
  /** Whether it can't be given up any more. */
  readonly isKept: boolean;
}

/**
 * Bounds the bytes of all requests and unfinished responses that a process holds. A
 * bound on each of them alone would not bound its memory. Beyond the limit the largest
 * is given up, unless it is the only large one: a single request is always served.
 * Released bytes take up memory until they are collected, so they count until then.
 */
export class HeldBytes {
  #maxBytes: number;
  #total = 0;
  #garbageBytes = 0;
  #copiedBytes = 0;
  readonly #holdings = new Map<ByteHolder, Holding>();

  /** @param maxBytes Most bytes that are held. */
  constructor(maxBytes = DEFAULT_MAX_HELD_BYTES) {
    this.#maxBytes = maxBytes;
  }

  /** Sets the most bytes that are held. */
  limit(maxBytes: number): void {
    this.#maxBytes = maxBytes;
  }

  /** Returns the number of bytes held now. */
  getTotal(): number {
    return this.#total;
  }

  /**
   * Adds bytes of a holder. If there are too many then, the holders of the most are
   * given up, which may be this one.
   */
  add(holder: ByteHolder, bytes: number): void {
    const { bytes: before, isKept } = this.#getHolding(holder);
    this.#holdings.set(holder, { bytes: before + bytes, isKept });
    this.#total += bytes;
    this.#enforceLimit();
  }

  /** Makes a holder one that is not given up, as its request may be running. */
  keep(holder: ByteHolder): void {
    const { bytes } = this.#getHolding(holder);
    this.#holdings.set(holder, { bytes, isKept: true });
  }

  /** Removes a holder whose memory is returned already. */
  release(holder: ByteHolder): void {
    this.#total -= this.#getHolding(holder).bytes;
    this.#holdings.delete(holder);
  }

  /** Removes a holder whose memory the garbage collector has to return. */
  releaseToCollector(holder: ByteHolder): void {
    const { bytes } = this.#getHolding(holder);
    this.release(holder);
    if (this.#isLarge(bytes)) this.#garbageBytes += bytes;
  }

  /** Notes pieces that were copied, and are garbage from now on. */
  recordCopied(bytes: number): void {
    this.#copiedBytes += bytes;
    if (this.#copiedBytes < COPIED_BYTES_PER_COLLECTION) return;
    this.#copiedBytes = 0;
    collectGarbage.collectRecentGarbage();
  }

  #isLarge(bytes: number): boolean {
    return bytes > Math.min(MAX_SMALL_BYTES, this.#maxBytes * SMALL_FRACTION);
  }

  #getHolding(holder: ByteHolder): Holding {
    return this.#holdings.get(holder) ?? { bytes: 0, isKept: false };
  }

  #enforceLimit(): void {
    this.#collectGarbage();
    while (this.#total > this.#maxBytes) {
      const found = this.#findHolderToGiveUp();
      if (found === undefined) return;
      this.release(found);
      found.abort();
    }
  }

  #collectGarbage(): void {
    const isMuch = this.#garbageBytes > this.#maxBytes * GARBAGE_FRACTION;
    if (!isMuch || this.#total + this.#garbageBytes <= this.#maxBytes) return;
    this.#garbageBytes = 0;
    collectGarbage.collectAllGarbage();
  }

  /**
   * Finds the largest holder that may be given up. A small one is, only if the small
   * ones hold more than their reserve and than what the large ones leave.
   */
  #findHolderToGiveUp(): ByteHolder | undefined {
    const all = [...this.#holdings];
    const large = all.filter(([, { bytes }]) => this.#isLarge(bytes));
    if (large.length > 1) {
      const found = findLargest(large);
      if (found !== undefined) return found;
    }
    const largeBytes = sumBytes(large);
    const smallBytes = this.#total - largeBytes;
    const reservedBytes = this.#maxBytes * RESERVED_FRACTION;
    if (smallBytes <= Math.max(reservedBytes, this.#maxBytes - largeBytes)) {
      return undefined;
    }
    return findLargest(
      all.filter(([, { bytes }]) => !this.#isLarge(bytes)),
    );
  }
}

function sumBytes(holdings: readonly [ByteHolder, Holding][]): number {
  return holdings.reduce((total, [, { bytes }]) => total + bytes, 0);
}

/** Finds the holder of the most bytes among those that may be given up. */
function findLargest(
  holdings: readonly [ByteHolder, Holding][],
): ByteHolder | undefined {
  const candidates = holdings.filter(([, { isKept }]) => !isKept);
  return candidates.toSorted(([, a], [, b]) => b.bytes - a.bytes)[0]?.[0];
}

/** The bytes that all requests of this process hold. */
export const SHARED_HELD_BYTES = new HeldBytes();
