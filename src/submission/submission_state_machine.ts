import type * as consensus from "../consensus/mod.ts";
import * as capacityStates from "../capacity/capacity_state.ts";
import type * as accounts from "../client_account/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import * as registry from "../registry/mod.ts";
import * as usageStates from "../usage/usage_state.ts";
import * as accessChecks from "./can_access.ts";
import * as savedParts from "./saved_parts.ts";
import type * as submissions from "./submission.ts";
import type * as commands from "./submission_command.ts";

/** A submission with what was listed of it. */
export interface SubmissionRecord {
  readonly submission: submissions.Submission;
  readonly results: readonly submissions.ItemResult[];
  readonly resultIds: ReadonlySet<string>;
  /** Texts of items that are not listed, by item. */
  readonly storedTexts: ReadonlyMap<string, submissions.StoredText>;
  /** Newest version of its model when it was accepted. */
  readonly namedVersion: number;
  readonly isEnded: boolean;
}

/** A submission whose items are still being restored. */
interface MutableSubmission extends submissions.Submission {
  readonly items: submissions.SubmissionItem[];
}

/** A record as this machine alone may change it. */
interface MutableRecord {
  readonly submission: MutableSubmission;
  readonly results: submissions.ItemResult[];
  readonly resultIds: Set<string>;
  readonly storedTexts: Map<string, submissions.StoredText>;
  readonly namedVersion: number;
  isEnded: boolean;
}

const KNOWN: commands.SubmissionAnswer = { isKnown: true };
const UNKNOWN: commands.SubmissionAnswer = { isKnown: false };

/** Submissions, their results and the named versions, under the stores' log. */
export class SubmissionStateMachine implements consensus.StateMachine {
  readonly #onChange: () => void;
  readonly #usage = new usageStates.UsageState();
  readonly #capacity = new capacityStates.CapacityState();
  readonly #crashes = new crashRecords.CrashTable();
  #records = new Map<string, MutableRecord>();
  #versions = new Map<string, number>();
  #retiring = new Set<string>();
  #holder: string | undefined;
  #engines = new Map<string, registry.ServerReport>();

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

  /** What is agreed on about capacity. */
  getCapacity(): capacityStates.CapacityState {
    return this.#capacity;
  }

  /** What is agreed on about usage. */
  getUsage(): usageStates.UsageState {
    return this.#usage;
  }

  /** What is agreed on about work that ends servers. */
  getCrashes(): crashRecords.CrashTable {
    return this.#crashes;
  }

  /** Engines that ran when a leader last looked. */
  listEngines(): readonly registry.ServerReport[] {
    return [...this.#engines.values()];
  }

  /**
   * Finds what is kept of an item's text, in any submission that named it.
   *
   * @returns Texts, whole ones first.
   */
  findTexts(item: string): readonly submissions.StoredText[] {
    const records = this.listAll();
    const completed = records.flatMap((record) =>
      record.resultIds.has(item)
        ? record.results.filter((result) =>
          result.id === item && result.state === "completed"
        )
        : []
    );
    const partial = records.flatMap((record) =>
      record.storedTexts.get(item) ?? []
    );
    return [
      ...completed.map(({ text, versions }) => ({
        text,
        versions,
        lastId: undefined,
      })),
      ...partial,
    ];
  }

  /** Newest named version of each model; a model without one is at 1. */
  getVersions(): ReadonlyMap<string, number> {
    return this.#versions;
  }

  apply(command: unknown): commands.SubmissionAnswer {
    const answer = this.#applyCommand(command as commands.SubmissionCommand);
    this.#onChange();
    return answer;
  }

  save(): readonly savedParts.SavedPart[] {
    const state: savedParts.SavedPart = {
      kind: "state",
      versions: [...this.#versions],
      retiring: [...this.#retiring],
      holder: this.#holder,
      engines: this.listEngines(),
      usage: this.#usage.save(),
      capacity: this.#capacity.save(),
      crashes: this.#crashes.list(),
    };
    return [state, ...this.listAll().flatMap(savedParts.splitRecord)];
  }

  restore(parts: readonly unknown[]): void {
    this.#records = new Map();
    let record: MutableRecord | undefined;
    for (const part of parts as readonly savedParts.SavedPart[]) {
      switch (part.kind) {
        case "state":
          this.#versions = new Map(part.versions);
          this.#retiring = new Set(part.retiring);
          this.#holder = part.holder;
          this.#usage.restore(part.usage);
          this.#capacity.restore(part.capacity);
          this.#crashes.restore(part.crashes ?? []);
          this.#engines = new Map(
            part.engines.map((engine) => [engine.id, engine]),
          );
          break;
        case "record":
          record = createRecord(part.record);
          this.#records.set(record.submission.id, record);
          break;
        case "items":
          record?.submission.items.push(...part.items);
          break;
        case "results":
          record?.results.push(...part.results);
          for (const { id } of part.results) record?.resultIds.add(id);
          break;
        case "texts":
          for (const [item, text] of part.texts) {
            record?.storedTexts.set(item, text);
          }
          break;
      }
    }
    this.#onChange();
  }

  /** Keeps the latest start of an engine, whichever is told of first. */
  #recordEngine(engine: registry.ServerReport): void {
    const known = this.#engines.get(engine.id);
    const isEarlierLifetime = known !== undefined &&
      registry.compareLifetimes(engine, known) === "former";
    if (!isEarlierLifetime) this.#engines.set(engine.id, engine);
  }

  #applyCommand(
    command: commands.SubmissionCommand,
  ): commands.SubmissionAnswer {
    switch (command.kind) {
      case "acceptSubmission":
        return this.#accept(command.submission);
      case "recordResults":
        return this.#recordResults(command.results);
      case "keepTexts":
        return this.#storeTexts(command.texts);
      case "noteHolder":
        this.#holder = command.box;
        return KNOWN;
      case "keepEngines":
        for (const id of command.gone) this.#engines.delete(id);
        for (const engine of command.added) this.#recordEngine(engine);
        return KNOWN;
      case "keepCrashes":
        this.#crashes.removeExpired(command.nowMs);
        for (const record of command.records) {
          this.#crashes.merge(record, command.nowMs);
        }
        return KNOWN;
      case "closeUsageWindow":
      case "noteUsageReported":
        this.#usage.apply(command);
        return KNOWN;
      case "noteCapacityOrder":
      case "noteCapacityBase":
        this.#capacity.apply(command);
        return KNOWN;
      case "endSubmission":
        return this.#end(command.id, command.sender);
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

  #accept(submission: submissions.Submission): commands.SubmissionAnswer {
    const known = this.#records.get(submission.id);
    if (known !== undefined) {
      return accessChecks.canAccess(submission.sender, known.submission)
        ? KNOWN
        : UNKNOWN;
    }
    this.#records.set(submission.id, {
      submission: { ...submission, items: [...submission.items] },
      results: [],
      resultIds: new Set(),
      storedTexts: new Map(),
      namedVersion: this.#versions.get(submission.model ?? "") ?? 1,
      isEnded: false,
    });
    return KNOWN;
  }

  /** Answers that something is unknown if any text lacks its kept part. */
  #recordResults(
    results: readonly commands.RecordedResult[],
  ): commands.SubmissionAnswer {
    const outcomes = results.map((result) => this.#recordResult(result));
    return outcomes.includes(UNKNOWN) ? UNKNOWN : KNOWN;
  }

  #recordResult(
    { submission, result, keptLastId }: commands.RecordedResult,
  ): commands.SubmissionAnswer {
    const record = this.#records.get(submission);
    if (record === undefined || record.isEnded) return KNOWN;
    if (record.resultIds.has(result.id)) return KNOWN;
    const stored = record.storedTexts.get(result.id);
    if (keptLastId !== undefined && stored?.lastId !== keptLastId) {
      return UNKNOWN;
    }
    const text = keptLastId === undefined || stored === undefined
      ? result.text
      : joinTexts(stored.text, result.text);
    record.storedTexts.delete(result.id);
    record.resultIds.add(result.id);
    record.results.push({ ...result, text });
    return KNOWN;
  }

  /** Answers that something is unknown if any text lacks what is before it. */
  #storeTexts(
    texts: readonly commands.TextToStore[],
  ): commands.SubmissionAnswer {
    const outcomes = texts.map((text) => this.#storeText(text));
    return outcomes.includes(UNKNOWN) ? UNKNOWN : KNOWN;
  }

  /** Keeps more of a text that follows what is kept, or one begun anew. */
  #storeText(addition: commands.TextToStore): commands.SubmissionAnswer {
    const record = this.#records.get(addition.submission);
    if (record === undefined || record.isEnded) return KNOWN;
    if (record.resultIds.has(addition.item)) return KNOWN;
    const stored = record.storedTexts.get(addition.item);
    const isRestarted = addition.afterId === undefined;
    if (!isRestarted && stored?.lastId !== addition.afterId) return UNKNOWN;
    const { lastId, versions } = addition;
    const text = isRestarted || stored === undefined
      ? addition.text
      : joinTexts(stored.text, addition.text);
    record.storedTexts.set(addition.item, { text, lastId, versions });
    return KNOWN;
  }

  #end(id: string, sender: accounts.Sender): commands.SubmissionAnswer {
    const record = this.#records.get(id);
    if (record === undefined) return UNKNOWN;
    if (!accessChecks.canAccess(sender, record.submission)) return UNKNOWN;
    record.isEnded = true;
    return KNOWN;
  }

  #nameVersion(model: string, version: number): commands.SubmissionAnswer {
    const known = this.#versions.get(model) ?? 0;
    if (version > known) this.#versions.set(model, version);
    return KNOWN;
  }
}

function joinTexts(first: string, rest: string): string {
  return rest === "" ? first : `${first}\n${rest}`;
}

function createRecord(saved: savedParts.SavedRecord): MutableRecord {
  return {
    submission: { ...saved.submission, items: [] },
    results: [],
    resultIds: new Set(),
    storedTexts: new Map(),
    namedVersion: saved.namedVersion,
    isEnded: saved.isEnded,
  };
}
