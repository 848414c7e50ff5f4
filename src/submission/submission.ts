import type * as accounts from "../client_account/mod.ts";

/** A call that scores a completed text. */
export interface ScoringCall {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  /** Body of the call, in base64. */
  readonly body: string;
}

/** One request of a submission. */
export interface SubmissionItem {
  readonly id: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Body of the request, in base64. */
  readonly body: string;
  /** Tokens of the prompt plus the longest possible answer. */
  readonly tokens: number;
  /**
   * Group of the item, which counts only once all its items are done; undefined
   * outside steps.
   */
  readonly group: string | undefined;
  /** Estimated median number of generated tokens. */
  readonly lengthHint: number | undefined;
  readonly model: string | undefined;
  readonly scoring: ScoringCall | undefined;
}

/** A submission as sent by the caller. */
export interface SubmissionDraft {
  readonly id: string;
  /** Model of a trainer's step; undefined for plain submissions. */
  readonly model: string | undefined;
  /** Step of the trainer; undefined for plain submissions. */
  readonly step: number | undefined;
  /** Oldest weight version that may generate tokens. */
  readonly minimumVersion: number;
  /** Number of complete groups that the trainer needs; undefined for all. */
  readonly desired: number | undefined;
  readonly items: readonly SubmissionItem[];
}

/** Settings of the route in force when the submission was accepted. */
export interface SubmissionTerms {
  readonly host: string;
  readonly service: string;
  /** Number of answers with status 500 after which an item may be given up. */
  readonly attempts: number;
  /** Time after which items that are not completed may be given up, in ms. */
  readonly keepMs: number;
  readonly targetCompletionMs: number;
  readonly isSingleVersion: boolean;
  /**
   * Priority of the route, 0 the most urgent; undefined in submissions that were
   * accepted before routes had priorities.
   */
  readonly priority?: number | undefined;
}

/** An accepted submission. */
export interface Submission extends SubmissionDraft {
  readonly terms: SubmissionTerms;
  /** Sender; later calls may use any key of the same client account. */
  readonly sender: accounts.Sender;
  /** Wall time of the acceptance, in ms since the epoch. */
  readonly acceptedAtMs: number;
}

/** Final result of an item; neither it nor its position changes later. */
export interface ItemResult {
  readonly id: string;
  readonly state: "completed" | "givenUp";
  /** Data of all events in order, separated by line feeds. */
  readonly text: string;
  /** Weight versions that generated the text, in ascending order. */
  readonly versions: readonly number[];
  /** Receipt from the scoring call; undefined without one. */
  readonly score: string | undefined;
}

/** Text of an item as replicated, from which any store box can resume it. */
export interface StoredText {
  /** Data of the events in order, separated by line feeds. */
  readonly text: string;
  /** Id of the last event; undefined for a completed text. */
  readonly lastId: number | undefined;
  readonly versions: readonly number[];
}

/** A page of the results of a submission. */
export interface ResultPage {
  /** Number of items of the submission. */
  readonly total: number;
  /** Index of the first result of the next page. */
  readonly next: number;
  readonly results: readonly ItemResult[];
  /** Whether the submission has ended and gets no further results. */
  readonly isEnded: boolean;
}
