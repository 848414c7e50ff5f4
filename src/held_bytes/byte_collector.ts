/** Largest size of a segment, in bytes; only its used part takes up memory. */
const SEGMENT_BYTES = 1024 * 1024;
/** Smallest amount by which a segment grows, in bytes. */
const GROWTH_BYTES = 16 * 1024;

const EMPTY: Buffer = Buffer.alloc(0);

/**
 * A part of the collected bytes. Its memory grows with the bytes received, and is
 * returned when it is shrunk, before its object is garbage collected.
 */
class Segment {
  readonly #memory = new ArrayBuffer(0, { maxByteLength: SEGMENT_BYTES });
  #size = 0;

  /** Copies as much of a piece as fits; returns the number of bytes. */
  append(piece: Buffer): number {
    const count = Math.min(piece.length, SEGMENT_BYTES - this.#size);
    const end = this.#size + count;
    if (end > this.#memory.byteLength) {
      const grown = Math.max(end, 2 * this.#memory.byteLength, GROWTH_BYTES);
      this.#memory.resize(Math.min(grown, SEGMENT_BYTES));
    }
    new Uint8Array(this.#memory, this.#size, count).set(
      piece.subarray(0, count),
    );
    this.#size = end;
    return count;
  }

  getAllocatedBytes(): number {
    return this.#memory.byteLength;
  }

  isFull(): boolean {
    return this.#size === SEGMENT_BYTES;
  }

  /** Copies the bytes to a buffer; returns their number. */
  writeTo(target: Buffer, offset: number): number {
    target.set(new Uint8Array(this.#memory, 0, this.#size), offset);
    return this.#size;
  }

  discard(): void {
    this.#memory.resize(0);
    this.#size = 0;
  }
}

/** Most unused segments that are kept to be used again. */
const MAX_UNUSED_SEGMENTS = 64;

/** Segments without memory; each new one would take up addresses until collected. */
const unusedSegments: Segment[] = [];

/** Returns the memory of a segment, which must not be used any more. */
function retireSegment(segment: Segment): void {
  segment.discard();
  if (unusedSegments.length < MAX_UNUSED_SEGMENTS) unusedSegments.push(segment);
}

/**
 * Collects pieces of a body. What it holds follows the bytes received, however small
 * their pieces are: a piece of one byte takes up some hundred bytes as an object.
 */
export class ByteCollector {
  /** The only piece so far, which most bodies consist of. */
  #first = EMPTY;
  #segments: Segment[] = [];
  #size = 0;
  #allocatedBytes = 0;

  /** Returns the number of bytes received. */
  getSize(): number {
    return this.#size;
  }

  /** Returns the number of bytes that are taken up. */
  getAllocatedBytes(): number {
    return this.#allocatedBytes;
  }

  /**
   * Adds a piece, which must not be changed afterwards.
   *
   * @param piece The piece.
   * @returns The number of bytes that are taken up in addition.
   */
  append(piece: Buffer): number {
    const before = this.#allocatedBytes;
    const isFirst = this.#size === 0;
    this.#size += piece.length;
    if (isFirst) {
      this.#first = piece;
      this.#allocatedBytes = piece.length;
    } else {
      this.#moveFirst();
      this.#appendToSegments(piece);
    }
    return this.#allocatedBytes - before;
  }

  /** Moves the first piece to a segment, once it is not the only one. */
  #moveFirst(): void {
    if (this.#segments.length > 0) return;
    this.#allocatedBytes = 0;
    this.#appendToSegments(this.#first);
    this.#first = EMPTY;
  }

  /** Returns all bytes in one buffer and keeps none. */
  takeBuffer(): Buffer {
    const { length } = this.#segments;
    const buffer = length === 0
      ? this.#first
      : Buffer.allocUnsafeSlow(this.#size);
    let offset = 0;
    for (const segment of this.#segments) {
      offset += segment.writeTo(buffer, offset);
      retireSegment(segment);
    }
    this.#segments = [];
    this.discard();
    return buffer;
  }

  /** Returns the memory of all bytes. */
  discard(): void {
    for (const segment of this.#segments) retireSegment(segment);
    this.#segments = [];
    this.#first = EMPTY;
    this.#size = 0;
    this.#allocatedBytes = 0;
  }

  #appendToSegments(piece: Buffer): void {
    let rest = piece;
    while (rest.length > 0) {
      const last = this.#getOpenSegment();
      const before = last.getAllocatedBytes();
      rest = rest.subarray(last.append(rest));
      this.#allocatedBytes += last.getAllocatedBytes() - before;
    }
  }

  /** Returns the last segment, a new one if that is full. */
  #getOpenSegment(): Segment {
    const last = this.#segments.at(-1);
    if (last !== undefined && !last.isFull()) return last;
    const added = unusedSegments.pop() ?? new Segment();
    this.#segments.push(added);
    return added;
  }
}
