import * as answerLengths from "../stand_ins/answer_length.ts";
import type * as ledgers from "../stand_ins/ledger.ts";
import * as unknownAfterKills from "./is_unknown_after_kill.ts";
import * as quantiles from "./quantiles.ts";
import * as tokenIndexes from "./token_index.ts";

/** Time in which a server may still receive work after it is marked, in ms. */
const LEAVE_GRACE_MS = 3_000;

/** Settings of the run that determine the expected answer lengths. */
export interface VerificationOptions {
  readonly lengths: answerLengths.LengthDistribution;
  /** Maximum tokens of a sample. */
  readonly sampleTokens: number;
  /** Maximum tokens of a caller's completion. */
  readonly completionTokens: number;
}

/** Violations and statistics of a run, computed from its ledgers. */
export interface LedgerReport {
  readonly steps: number;
  readonly samples: number;
  readonly missingSamples: number;
  /** Extra samples for a slot, and extra slots for a sample. */
  readonly duplicateSamples: number;
  readonly staleSamples: number;
  /** Samples whose tokens or weight versions differ from the engines' ledgers. */
  readonly wrongProvenance: number;
  readonly requests: number;
  /** Requests without an answer, but for those in `unknownAfterKill`. */
  readonly failedRequests: number;
  /** Calls that were lost with their box, see `isUnknownAfterKill`. */
  readonly unknownAfterKill: number;
  readonly truncatedAnswers: number;
  /** Requests that received the answer to another request. */
  readonly crossedAnswers: number;
  readonly doubledNonRepeatable: number;
  /** Requests that ran although every attempt was reported as not run. */
  readonly falseNotRun: number;
  readonly workAfterLeave: number;
  readonly cutOffByPlannedStop: number;
  readonly trainerIdleFraction: number;
  /** Age of the oldest segment of each sample at its receipt, in ms. */
  readonly stalenessMs: quantiles.Quantiles;
}

type EntryOfKind<K extends ledgers.LedgerEntry["kind"]> = Extract<
  ledgers.LedgerEntry,
  { readonly kind: K }
>;

function selectEntries<K extends ledgers.LedgerEntry["kind"]>(
  entries: readonly ledgers.LedgerEntry[],
  kind: K,
): readonly EntryOfKind<K>[] {
  return entries.filter((entry): entry is EntryOfKind<K> =>
    entry.kind === kind
  );
}

function selectFirstReceived(
  samples: readonly ledgers.SampleEntry[],
): readonly ledgers.SampleEntry[] {
  const first = new Map<string, ledgers.SampleEntry>();
  for (const sample of samples) {
    const key = `${sample.trainer}/${sample.step}/${sample.slot}`;
    if (!first.has(key)) first.set(key, sample);
  }
  return [...first.values()];
}

function countDuplicates(samples: readonly ledgers.SampleEntry[]): number {
  const idsBySlot = new Map<string, ReadonlySet<string>>();
  const slotsById = new Map<string, ReadonlySet<string>>();
  for (const sample of samples) {
    const slot = `${sample.trainer}/${sample.step}/${sample.slot}`;
    idsBySlot.set(
      slot,
      new Set([...idsBySlot.get(slot) ?? [], sample.sampleId]),
    );
    slotsById.set(
      sample.sampleId,
      new Set([...slotsById.get(sample.sampleId) ?? [], slot]),
    );
  }
  const extra = [...idsBySlot.values(), ...slotsById.values()].map((set) =>
    set.size - 1
  );
  return extra.reduce((sum, count) => sum + count, 0);
}

function getReportedVersion(
  sample: ledgers.SampleEntry,
  position: number,
): number | undefined {
  return sample.spans.find((span) =>
    position >= span.start && position < span.end
  )?.weightVersion;
}

function hasCorrectProvenance(
  sample: ledgers.SampleEntry,
  index: tokenIndexes.TokenIndex,
  options: VerificationOptions,
): boolean {
  const length = answerLengths.getAnswerLength(
    sample.prompt,
    options.sampleTokens,
    options.lengths,
  );
  if (sample.tokens.length !== length) return false;
  return sample.tokens.every((token, position) => {
    const segment = tokenIndexes.findSegment(index, token);
    return segment !== undefined && segment.prompt === sample.prompt &&
      segment.model === sample.model &&
      token - segment.firstToken + segment.firstPosition === position &&
      segment.weightVersion === getReportedVersion(sample, position);
  });
}

function listSegments(
  sample: ledgers.SampleEntry,
  index: tokenIndexes.TokenIndex,
): readonly ledgers.SegmentEntry[] {
  return sample.tokens
    .map((token) => tokenIndexes.findSegment(index, token))
    .filter((segment) => segment !== undefined);
}

function getAgeMs(
  sample: ledgers.SampleEntry,
  index: tokenIndexes.TokenIndex,
): number {
  return sample.atMs -
    Math.min(
      ...listSegments(sample, index).map((segment) => segment.atMs),
    );
}

function isStale(
  sample: ledgers.SampleEntry,
  index: tokenIndexes.TokenIndex,
): boolean {
  const oldest = Math.min(
    ...listSegments(sample, index).map((segment) => segment.weightVersion),
  );
  return sample.trainerVersion - oldest > sample.maxVersionsBehind ||
    getAgeMs(sample, index) > sample.maxAgeMs;
}

function isCrossed(
  call: ledgers.CallEntry,
  index: tokenIndexes.TokenIndex,
): boolean {
  if (!call.isAnswered) return false;
  if (call.operation !== "completion") return call.answeredId !== call.callId;
  return call.tokens.some((token) =>
    tokenIndexes.findSegment(index, token)?.prompt !== call.prompt
  );
}

function isTruncated(
  call: ledgers.CallEntry,
  index: tokenIndexes.TokenIndex,
  options: VerificationOptions,
): boolean {
  if (!call.isAnswered) return false;
  if (!call.isWhole) return true;
  if (call.operation !== "completion") return false;
  const length = answerLengths.getAnswerLength(
    call.prompt,
    options.completionTokens,
    options.lengths,
  );
  const inOrder = call.tokens.every((token, position) => {
    const segment = tokenIndexes.findSegment(index, token);
    return segment !== undefined &&
      token - segment.firstToken + segment.firstPosition === position;
  });
  return call.tokens.length !== length || !inOrder;
}

function countRuns(
  runs: readonly ledgers.RunEntry[],
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const run of runs) {
    counts.set(run.callId, (counts.get(run.callId) ?? 0) + 1);
  }
  return counts;
}

function isFalseNotRun(
  call: ledgers.CallEntry,
  runs: ReadonlyMap<string, number>,
): boolean {
  if (call.operation === "completion") return false;
  const possibleRuns = call.tries.filter((item) =>
    item.outcome !== "notRun" && item.outcome !== "refused" &&
    item.outcome !== "notSent"
  );
  return possibleRuns.length === 0 && (runs.get(call.callId) ?? 0) > 0;
}

function countWorkAfterLeave(entries: readonly ledgers.LedgerEntry[]): number {
  const leaves = selectEntries(entries, "event").filter((entry) =>
    entry.event === "leave"
  );
  const segments = selectEntries(entries, "segment").filter((segment) =>
    segment.isFirst
  );
  const work = [
    ...selectEntries(entries, "run").map((run) => ({
      target: run.server,
      atMs: run.atMs,
    })),
    ...segments.map((segment) => ({
      target: segment.engine,
      atMs: segment.atMs,
    })),
  ];
  return leaves.reduce(
    (sum, leave) =>
      sum +
      work.filter((item) =>
        item.target === leave.target && item.atMs > leave.atMs + LEAVE_GRACE_MS
      ).length,
    0,
  );
}

function countCutOff(entries: readonly ledgers.LedgerEntry[]): number {
  const events = selectEntries(entries, "event");
  const tries = selectEntries(entries, "call").flatMap((call) => call.tries);
  return events.filter((event) => event.event === "planStop").reduce(
    (sum, stopEvent) => {
      const ended = events.find((event) =>
        event.event === "stopped" && event.target === stopEvent.target
      );
      const untilMs = (ended?.atMs ?? Number.POSITIVE_INFINITY) + 1_000;
      const cut = tries.filter((item) =>
        item.box === stopEvent.target &&
        (item.outcome === "broken" || item.outcome === "notSent") &&
        item.endedMs >= stopEvent.atMs && item.sentMs <= untilMs
      );
      return sum + cut.length;
    },
    0,
  );
}

function computeIdleFraction(steps: readonly ledgers.StepEntry[]): number {
  const idleMs = steps.reduce((sum, step) => sum + step.idleMs, 0);
  const totalMs = steps.reduce((sum, step) => sum + step.totalMs, 0);
  return totalMs === 0 ? 0 : Math.round(1_000 * idleMs / totalMs) / 1_000;
}

/**
 * Verifies a run by the ledgers of engines, plain servers, trainers and callers.
 *
 * @param entries Entries of all ledgers.
 * @param options Settings of the run.
 * @returns Violations and statistics of the run.
 */
export function verifyLedgers(
  entries: readonly ledgers.LedgerEntry[],
  options: VerificationOptions,
): LedgerReport {
  const index = tokenIndexes.buildTokenIndex(selectEntries(entries, "segment"));
  const received = selectEntries(entries, "sample");
  const samples = selectFirstReceived(received);
  const steps = selectEntries(entries, "step");
  const calls = selectEntries(entries, "call");
  const runs = countRuns(selectEntries(entries, "run"));
  const syncs = calls.filter((call) => call.operation === "sync");
  const kills = selectEntries(entries, "event").filter(({ event }) =>
    event === "kill"
  );
  const unanswered = calls.filter((call) => !call.isAnswered);
  const lost = unanswered.filter((call) =>
    unknownAfterKills.isUnknownAfterKill(call, kills)
  );
  return {
    steps: steps.length,
    samples: samples.length,
    missingSamples: steps.reduce(
      (sum, step) => sum + step.slots - step.received,
      0,
    ),
    duplicateSamples: countDuplicates(received),
    staleSamples: samples.filter((sample) => isStale(sample, index)).length,
    wrongProvenance:
      samples.filter((sample) => !hasCorrectProvenance(sample, index, options))
        .length,
    requests: calls.length,
    failedRequests: unanswered.length - lost.length,
    unknownAfterKill: lost.length,
    truncatedAnswers:
      calls.filter((call) => isTruncated(call, index, options)).length,
    crossedAnswers: calls.filter((call) => isCrossed(call, index)).length,
    doubledNonRepeatable:
      syncs.filter((call) => (runs.get(call.callId) ?? 0) > 1).length,
    falseNotRun: calls.filter((call) => isFalseNotRun(call, runs)).length,
    workAfterLeave: countWorkAfterLeave(entries),
    cutOffByPlannedStop: countCutOff(entries),
    trainerIdleFraction: computeIdleFraction(steps),
    stalenessMs: quantiles.computeQuantiles(
      samples.map((sample) => getAgeMs(sample, index)),
    ),
  };
}

/** Names of the counts that must be 0. */
export const FAULT_COUNTS = [
  "missingSamples",
  "duplicateSamples",
  "staleSamples",
  "wrongProvenance",
  "failedRequests",
  "truncatedAnswers",
  "crossedAnswers",
  "doubledNonRepeatable",
  "falseNotRun",
  "workAfterLeave",
  "cutOffByPlannedStop",
] as const satisfies readonly (keyof LedgerReport)[];
