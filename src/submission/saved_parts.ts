import type * as capacityStates from "../capacity/capacity_state.ts";
import type * as crashRecords from "../crash_record/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as usageStates from "../usage/usage_state.ts";
import type * as submissions from "./submission.ts";

/** Characters of text that one part holds, unless one value is longer. */
const MAX_PART_CHARACTERS = 128 * 1024;
/** Characters that a value takes beside its texts, about. */
const VALUE_OVERHEAD_CHARACTERS = 200;

/** A submission without its items, and what became of it. */
export interface SavedRecord {
  readonly submission: submissions.Submission;
  readonly namedVersion: number;
  readonly isEnded: boolean;
}

/** A kept text with the item it belongs to. */
export type SavedText = readonly [item: string, text: submissions.StoredText];

/** A part of the saved state; the parts of a submission follow its record. */
export type SavedPart =
  | {
    readonly kind: "state";
    readonly versions: readonly (readonly [string, number])[];
    readonly retiring: readonly string[];
    readonly holder: string | undefined;
    readonly engines: readonly registry.ServerReport[];
    readonly usage: usageStates.SavedUsage;
    readonly capacity: capacityStates.SavedCapacity;
    /** Undefined in what a version before wrote. */
    readonly crashes: readonly crashRecords.CrashRecord[] | undefined;
  }
  | { readonly kind: "record"; readonly record: SavedRecord }
  | {
    readonly kind: "items";
    readonly items: readonly submissions.SubmissionItem[];
  }
  | {
    readonly kind: "results";
    readonly results: readonly submissions.ItemResult[];
  }
  | { readonly kind: "texts"; readonly texts: readonly SavedText[] };

/** What is saved of one submission. */
export interface RecordToSave extends SavedRecord {
  readonly results: readonly submissions.ItemResult[];
  readonly storedTexts: ReadonlyMap<string, submissions.StoredText>;
}

/**
 * Cuts a submission into parts of bounded size. They do not change when the
 * record does.
 *
 * @param toSave The submission and what became of it.
 * @returns Its parts, its record first.
 */
export function splitRecord(toSave: RecordToSave): readonly SavedPart[] {
  const { submission, namedVersion, isEnded, results, storedTexts: kept } =
    toSave;
  const record = {
    submission: { ...submission, items: [] },
    namedVersion,
    isEnded,
  };
  return [
    { kind: "record", record },
    ...splitList(submission.items, measureItem)
      .map((items): SavedPart => ({ kind: "items", items })),
    ...splitList(results, (result) => result.text.length)
      .map((part): SavedPart => ({ kind: "results", results: part })),
    ...splitList([...kept], ([, { text }]) => text.length)
      .map((texts): SavedPart => ({ kind: "texts", texts })),
  ];
}

function measureItem(item: submissions.SubmissionItem): number {
  return item.body.length + (item.scoring?.body.length ?? 0);
}

function splitList<T>(
  values: readonly T[],
  measure: (value: T) => number,
): readonly (readonly T[])[] {
  const parts: T[][] = [];
  let size = MAX_PART_CHARACTERS;
  for (const value of values) {
    const added = measure(value) + VALUE_OVERHEAD_CHARACTERS;
    if (size + added > MAX_PART_CHARACTERS) {
      parts.push([]);
      size = 0;
    }
    parts.at(-1)?.push(value);
    size += added;
  }
  return parts;
}
