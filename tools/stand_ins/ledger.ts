import * as fs from "node:fs";
import * as path from "node:path";

/** One engine run of consecutive tokens under one weight version. */
export interface SegmentEntry {
  readonly kind: "segment";
  readonly engine: string;
  readonly prompt: string;
  readonly model: string;
  /** Ids of its tokens are `firstToken`, `firstToken + 1`, and so on. */
  readonly firstToken: number;
  /** Position of its first token in the whole answer. */
  readonly firstPosition: number;
  readonly weightVersion: number;
  /** Length of the whole answer, in tokens. */
  readonly answerLength: number;
  readonly atMs: number;
  /** Whether the request began with this segment. */
  readonly isFirst: boolean;
}

/** An order that an engine was given. */
export interface OrderEntry {
  readonly kind: "order";
  readonly engine: string;
  readonly model: string;
  readonly weightVersion: number;
  readonly fence: number;
  readonly isTaken: boolean;
  readonly atMs: number;
}

/** A call that a plain server ran. */
export interface RunEntry {
  readonly kind: "run";
  readonly server: string;
  readonly operation: "lookup" | "sync";
  readonly callId: string;
  readonly atMs: number;
}

/** A sample that a trainer received for the first time or again. */
export interface SampleEntry {
  readonly kind: "sample";
  readonly trainer: string;
  readonly model: string;
  readonly step: number;
  readonly slot: number;
  readonly prompt: string;
  readonly sampleId: string;
  readonly tokens: readonly number[];
  readonly spans: readonly SpanEntry[];
  readonly trainerVersion: number;
  readonly maxVersionsBehind: number;
  readonly maxAgeMs: number;
  readonly atMs: number;
}

/** A run of tokens with the version that hoistscale says produced them. */
export interface SpanEntry {
  readonly weightVersion: number;
  readonly start: number;
  readonly end: number;
}

/** A step that a trainer ended. */
export interface StepEntry {
  readonly kind: "step";
  readonly trainer: string;
  readonly step: number;
  readonly slots: number;
  readonly received: number;
  readonly idleMs: number;
  readonly totalMs: number;
}

/** One try of a caller's request. */
export interface CallAttempt {
  readonly box: string;
  readonly sentMs: number;
  readonly endedMs: number;
  readonly outcome:
    | "answered"
    | "notRun"
    | "unknown"
    | "refused"
    | "broken"
    | "notSent";
}

/** A caller's request, from first send to final answer. */
export interface CallEntry {
  readonly kind: "call";
  readonly operation: "lookup" | "sync" | "completion";
  readonly callId: string;
  readonly tries: readonly CallAttempt[];
  readonly isAnswered: boolean;
  /** The call that the answer says it answers. */
  readonly answeredId: string;
  /** Whether the answer's own length and checksum hold. */
  readonly isWhole: boolean;
  readonly tokens: readonly number[];
  readonly prompt: string;
}

/** Something the demo did. */
export interface EventEntry {
  readonly kind: "event";
  readonly event: "leave" | "planStop" | "stopped" | "kill";
  readonly target: string;
  readonly atMs: number;
}

/** A line of a ledger. */
export type LedgerEntry =
  | SegmentEntry
  | OrderEntry
  | RunEntry
  | SampleEntry
  | StepEntry
  | CallEntry
  | EventEntry;

/** Writes what really happened, one JSON text a line, before it is told. */
export class LedgerWriter {
  readonly #descriptor: number;

  /** @param file The ledger; made if missing, added to if not. */
  constructor(file: string) {
    fs.mkdirSync(path.dirname(file), { recursive: true });
    this.#descriptor = fs.openSync(file, "a");
  }

  add(entry: LedgerEntry): void {
    fs.writeSync(this.#descriptor, `${JSON.stringify(entry)}\n`);
  }
}

/**
 * Reads every ledger in a folder.
 *
 * @param folder The folder.
 * @returns All entries; a torn last line of a killed process is left out.
 */
export function readLedgers(folder: string): readonly LedgerEntry[] {
  return fs.readdirSync(folder)
    .filter((name) => name.endsWith(".jsonl"))
    .flatMap((name) =>
      fs.readFileSync(path.join(folder, name), "utf8").split("\n")
    )
    .filter((line) => line.endsWith("}"))
    .map((line) => JSON.parse(line) as LedgerEntry);
}
