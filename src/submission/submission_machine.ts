import type * as consensus from "../consensus/mod.ts";
import type * as submissions from "./submission.ts";

/** Results to list, in order. */
export interface RecordedResult {
  readonly submission: string;
  readonly result: submissions.ItemResult;
}

/** A command of the submissions' log. */
export type SubmissionCommand =
  | {
    readonly kind: "acceptSubmission";
    readonly submission: submissions.Submission;
  }
  | {
    readonly kind: "recordResults";
    readonly results: readonly RecordedResult[];
  }
  | { readonly kind: "endSubmission"; readonly id: string }
  | {
    readonly kind: "nameVersion";
    readonly model: string;
    readonly version: number;
  }
  | { readonly kind: "retireBox"; readonly box: string }
  | { readonly kind: "forgetSubmissions"; readonly ids: readonly string[] };

/** What became of a command. */
export interface SubmissionAnswer {
  /** Whether the thing named by the command exists. */
  readonly isKnown: boolean;
}

/** A submission with what was listed of it. */
export interface SubmissionRecord {
  readonly submission: submissions.Submission;
  readonly results: readonly submissions.ItemResult[];
  readonly listed: ReadonlySet<string>;
  readonly isEnded: boolean;
}

/** A record as this machine alone may change it. */
interface MutableRecord {
  readonly submission: submissions.Submission;
  readonly results: submissions.ItemResult[];
  readonly listed: Set<string>;
  isEnded: boolean;
}

interface SavedRecord {
  readonly submission: submissions.Submission;
  readonly results: readonly submissions.ItemResult[];
  readonly isEnded: boolean;
}

interface SavedState {
  readonly records: readonly SavedRecord[];
  readonly versions: readonly (readonly [string, number])[];
  readonly retiring: readonly string[];
}

const KNOWN: SubmissionAnswer = { isKnown: true };
const UNKNOWN: SubmissionAnswer = { isKnown: false };

/** Submissions, their results and the named versions, under the stores' log. */
export class SubmissionMachine implements consensus.Machine {
  readonly #onChange: () => void;
  #records = new Map<string, MutableRecord>();
  #versions = new Map<string, number>();
  #retiring = new Set<string>();

  /** @param onChange Told after each command that may have changed something. */
  constructor(onChange: () => void) {
    this.#onChange = onChange;
  }

  get(id: string): SubmissionRecord | undefined {
    return this.#records.get(id);
  }

  listAll(): readonly SubmissionRecord[] {
    return [...this.#records.values()];
  }

  listRetiring(): readonly string[] {
    return [...this.#retiring];
  }

  /** Newest named version of each model; a model without one is at 1. */
  getVersions(): ReadonlyMap<string, number> {
    return this.#versions;
  }

  apply(command: unknown): SubmissionAnswer {
    const answer = this.#applyCommand(command as SubmissionCommand);
    this.#onChange();
    return answer;
  }

  save(): SavedState {
    return {
      records: this.listAll().map(({ submission, results, isEnded }) => ({
        submission,
        results,
        isEnded,
      })),
      versions: [...this.#versions],
      retiring: [...this.#retiring],
    };
  }

  restore(state: unknown): void {
    const saved = state as SavedState;
    this.#records = new Map(
      saved.records.map((record) =>
        [record.submission.id, restoreRecord(record)] as const
      ),
    );
    this.#versions = new Map(saved.versions);
    this.#retiring = new Set(saved.retiring);
    this.#onChange();
  }

  #applyCommand(command: SubmissionCommand): SubmissionAnswer {
    switch (command.kind) {
      case "acceptSubmission":
        return this.#accept(command.submission);
      case "recordResults":
        for (const item of command.results) this.#record(item);
        return KNOWN;
      case "endSubmission":
        return this.#end(command.id);
      case "nameVersion":
        return this.#nameVersion(command.model, command.version);
      case "retireBox":
        this.#retiring.add(command.box);
        return KNOWN;
      case "forgetSubmissions":
        for (const id of command.ids) this.#records.delete(id);
        return KNOWN;
      default:
        // Entries of consensus itself change nothing here.
        return KNOWN;
    }
  }

  #accept(submission: submissions.Submission): SubmissionAnswer {
    if (this.#records.has(submission.id)) return KNOWN;
    this.#records.set(submission.id, {
      submission,
      results: [],
      listed: new Set(),
      isEnded: false,
    });
    return KNOWN;
  }

  #record({ submission, result }: RecordedResult): void {
    const record = this.#records.get(submission);
    if (record === undefined || record.isEnded) return;
    if (record.listed.has(result.id)) return;
    record.listed.add(result.id);
    record.results.push(result);
  }

  #end(id: string): SubmissionAnswer {
    const record = this.#records.get(id);
    if (record === undefined) return UNKNOWN;
    record.isEnded = true;
    return KNOWN;
  }

  #nameVersion(model: string, version: number): SubmissionAnswer {
    const known = this.#versions.get(model) ?? 0;
    if (version > known) this.#versions.set(model, version);
    return KNOWN;
  }
}

function restoreRecord(record: SavedRecord): MutableRecord {
  return {
    submission: record.submission,
    results: [...record.results],
    listed: new Set(record.results.map((result) => result.id)),
    isEnded: record.isEnded,
  };
}
