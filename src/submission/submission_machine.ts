import type * as consensus from "../consensus/mod.ts";
import type * as submissions from "./submission.ts";

/** Results to list, in order. */
export interface RecordedResult {
  readonly submission: string;
  /** Its text is what follows the kept part. */
  readonly result: submissions.ItemResult;
  /** Id of the last event of the kept part; undefined where none is meant. */
  readonly keptLastId?: number | undefined;
}

/** More of an item's text to keep. */
export interface TextToKeep {
  readonly submission: string;
  readonly item: string;
  /** Last event of the part kept before; undefined for none. */
  readonly afterId: number | undefined;
  readonly text: string;
  readonly lastId: number;
  readonly versions: readonly number[];
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
  | { readonly kind: "keepTexts"; readonly texts: readonly TextToKeep[] }
  /** Names the box that orders engines from now on. */
  | { readonly kind: "noteHolder"; readonly box: string }
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
  /** Texts of items that are not listed, by item. */
  readonly kept: ReadonlyMap<string, submissions.KeptText>;
  /** Newest version of its model when it was accepted. */
  readonly namedVersion: number;
  readonly isEnded: boolean;
}

/** A record as this machine alone may change it. */
interface MutableRecord {
  readonly submission: submissions.Submission;
  readonly results: submissions.ItemResult[];
  readonly listed: Set<string>;
  readonly kept: Map<string, submissions.KeptText>;
  readonly namedVersion: number;
  isEnded: boolean;
}

interface SavedRecord {
  readonly submission: submissions.Submission;
  readonly results: readonly submissions.ItemResult[];
  readonly kept: readonly (readonly [string, submissions.KeptText])[];
  readonly namedVersion: number;
  readonly isEnded: boolean;
}

interface SavedState {
  readonly records: readonly SavedRecord[];
  readonly versions: readonly (readonly [string, number])[];
  readonly retiring: readonly string[];
  readonly holder: string | undefined;
}

const KNOWN: SubmissionAnswer = { isKnown: true };
const UNKNOWN: SubmissionAnswer = { isKnown: false };

/** Submissions, their results and the named versions, under the stores' log. */
export class SubmissionMachine implements consensus.Machine {
  readonly #onChange: () => void;
  #records = new Map<string, MutableRecord>();
  #versions = new Map<string, number>();
  #retiring = new Set<string>();
  #holder: string | undefined;

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

  /** Box that gave the last orders to engines, or may have. */
  getHolder(): string | undefined {
    return this.#holder;
  }

  /**
   * Finds what is kept of an item's text, in any submission that named it.
   *
   * @returns Texts, whole ones first.
   */
  findTexts(item: string): readonly submissions.KeptText[] {
    const records = this.listAll();
    const whole = records.flatMap((record) =>
      record.listed.has(item)
        ? record.results.filter((result) =>
          result.id === item && result.state === "completed"
        )
        : []
    );
    const parts = records.flatMap((record) => record.kept.get(item) ?? []);
    return [
      ...whole.map(({ text, versions }) => ({
        text,
        versions,
        lastId: undefined,
      })),
      ...parts,
    ];
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
      records: this.listAll().map((
        { submission, results, kept, namedVersion, isEnded },
      ) => ({
        submission,
        results,
        kept: [...kept],
        namedVersion,
        isEnded,
      })),
      versions: [...this.#versions],
      retiring: [...this.#retiring],
      holder: this.#holder,
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
    this.#holder = saved.holder;
    this.#onChange();
  }

  #applyCommand(command: SubmissionCommand): SubmissionAnswer {
    switch (command.kind) {
      case "acceptSubmission":
        return this.#accept(command.submission);
      case "recordResults":
        return this.#recordAll(command.results);
      case "keepTexts":
        for (const text of command.texts) this.#keep(text);
        return KNOWN;
      case "noteHolder":
        this.#holder = command.box;
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
      kept: new Map(),
      namedVersion: this.#versions.get(submission.model ?? "") ?? 1,
      isEnded: false,
    });
    return KNOWN;
  }

  /** Answers that something is unknown if any text lacks its kept part. */
  #recordAll(results: readonly RecordedResult[]): SubmissionAnswer {
    const outcomes = results.map((result) => this.#record(result));
    return outcomes.includes(UNKNOWN) ? UNKNOWN : KNOWN;
  }

  #record(
    { submission, result, keptLastId }: RecordedResult,
  ): SubmissionAnswer {
    const record = this.#records.get(submission);
    if (record === undefined || record.isEnded) return KNOWN;
    if (record.listed.has(result.id)) return KNOWN;
    const kept = record.kept.get(result.id);
    if (keptLastId !== undefined && kept?.lastId !== keptLastId) return UNKNOWN;
    const text = keptLastId === undefined || kept === undefined
      ? result.text
      : joinTexts(kept.text, result.text);
    record.kept.delete(result.id);
    record.listed.add(result.id);
    record.results.push({ ...result, text });
    return KNOWN;
  }

  /** Keeps more of a text that follows what is kept, or one begun anew. */
  #keep(more: TextToKeep): void {
    const record = this.#records.get(more.submission);
    if (record === undefined || record.isEnded) return;
    if (record.listed.has(more.item)) return;
    const kept = record.kept.get(more.item);
    const isNew = more.afterId === undefined;
    if (!isNew && kept?.lastId !== more.afterId) return;
    const { lastId, versions } = more;
    const text = isNew || kept === undefined
      ? more.text
      : joinTexts(kept.text, more.text);
    record.kept.set(more.item, { text, lastId, versions });
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

function joinTexts(front: string, rest: string): string {
  return rest === "" ? front : `${front}\n${rest}`;
}

function restoreRecord(record: SavedRecord): MutableRecord {
  return {
    submission: record.submission,
    results: [...record.results],
    listed: new Set(record.results.map((result) => result.id)),
    kept: new Map(record.kept),
    namedVersion: record.namedVersion,
    isEnded: record.isEnded,
  };
}
