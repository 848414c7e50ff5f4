import * as fs from "node:fs";
import * as path from "node:path";

/** Consecutive tokens that an engine generated under one weight version. */
export interface SegmentEntry {
  readonly kind: "segment";
  readonly engine: string;
  readonly prompt: string;
  readonly model: string;
  /** Id of the first token; the following tokens have consecutive ids. */
  readonly firstToken: number;
  /** Position of the first token in the whole answer. */
  readonly firstPosition: number;
  readonly weightVersion: number;
  /** Length of the whole answer, in tokens. */
  readonly answerLength: number;
  readonly atMs: number;
  /** Whether this is the first segment of the request on this engine. */
  readonly isFirst: boolean;
}

/** An order that an engine received. */
export interface OrderEntry {
  readonly kind: "order";
  readonly engine: string;
  readonly model: string;
  readonly weightVersion: number;
  /** Fencing number of the leader that sent the order. */
  readonly fence: number;
  /** Whether the engine accepted the order. */
  readonly isTaken: boolean;
  readonly atMs: number;
}

/** A call that a plain server executed. */
export interface RunEntry {
  readonly kind: "run";
  readonly server: string;
  readonly operation: "lookup" | "sync";
  readonly callId: string;
  readonly atMs: number;
}

/** A sample that a trainer received; redelivered samples are listed again. */
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
  /** Weight version of the trainer when the sample arrived. */
  readonly trainerVersion: number;
  readonly maxVersionsBehind: number;
  readonly maxAgeMs: number;
  readonly atMs: number;
}

/** Range of tokens with the weight version that hoistscale reports for them. */
export interface SpanEntry {
  readonly weightVersion: number;
  readonly start: number;
  readonly end: number;
}

/** A step that a trainer finished. */
export interface StepEntry {
  readonly kind: "step";
  readonly trainer: string;
  readonly step: number;
  /** Samples that the step asked for. */
  readonly slots: number;
  /** Slots for which a sample arrived. */
  readonly received: number;
  /** Time spent waiting for samples, in ms. */
  readonly idleMs: number;
  readonly totalMs: number;
}

/** One attempt to send a caller's request. */
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

/** A caller's request with all of its attempts. */
export interface CallEntry {
  readonly kind: "call";
  readonly operation: "lookup" | "sync" | "completion";
  readonly callId: string;
  readonly tries: readonly CallAttempt[];
  readonly isAnswered: boolean;
  /** Call id in the answer; differs from `callId` if answers were mixed up. */
  readonly answeredId: string;
  /** Whether the answer arrived complete and passed its checksum. */
  readonly isWhole: boolean;
  readonly tokens: readonly number[];
  readonly prompt: string;
}

/** A fault or planned stop that a demo or bench caused. */
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

/**
 * Appends entries to a ledger, one JSON text a line. Writes are synchronous, so
 * that an entry is on file before its effect is visible to other processes.
 */
export class LedgerWriter {
  readonly #descriptor: number;

  /** @param file Path of the ledger; created if missing, else appended to. */
  constructor(file: string) {
    fs.mkdirSync(path.dirname(file), { recursive: true });
    this.#descriptor = fs.openSync(file, "a");
  }

  add(entry: LedgerEntry): void {
    fs.writeSync(this.#descriptor, `${JSON.stringify(entry)}\n`);
  }
}

/**
 * Reads the entries of every ledger (`*.jsonl`) in a folder.
 *
 * @param folder Path of the folder.
 * @returns All entries; a truncated last line, as a killed process leaves, is
 * skipped.
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
