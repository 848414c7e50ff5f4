import type * as accounts from "../client_account/mod.ts";

/** A request that scores a finished text. */
export interface ScoringCall {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  /** Base64. */
  readonly body: string;
}

/** One request of a submission. */
export interface SubmissionItem {
  readonly id: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Base64. */
  readonly body: string;
  /** Tokens of the prompt and of the longest answer together. */
  readonly tokens: number;
  /** Items of a group count only together; undefined outside trainers. */
  readonly group: string | undefined;
  /** Guess of the tokens that will come out, right in the median. */
  readonly lengthHint: number | undefined;
  readonly model: string | undefined;
  readonly scoring: ScoringCall | undefined;
}

/** A submission as its sender wrote it. */
export interface SubmissionDraft {
  readonly id: string;
  /** Model and step of a trainer; undefined for plain submissions. */
  readonly model: string | undefined;
  readonly step: number | undefined;
  /** Oldest weight version that may make its tokens. */
  readonly minimumVersion: number;
  /** Whole groups that the trainer waits for. */
  readonly desired: number | undefined;
  readonly items: readonly SubmissionItem[];
}

/** What the route of a submission promised when it was accepted. */
export interface SubmissionTerms {
  readonly host: string;
  readonly service: string;
  /** Answers of 500 after which an item may be given up. */
  readonly attempts: number;
  readonly keepMs: number;
  readonly targetCompletionMs: number;
  readonly isSingleVersion: boolean;
  /**
   * Urgency of the route, 0 first; undefined where an earlier version of the
   * program accepted the submission.
   */
  readonly priority?: number | undefined;
}

/** An accepted submission. */
export interface Submission extends SubmissionDraft {
  readonly terms: SubmissionTerms;
  /** Who sent it; later calls come by any key of the same account. */
  readonly sender: accounts.Sender;
  /** Wall time of the acceptance, in ms. */
  readonly acceptedAtMs: number;
}

/** Final result of an item; it never changes and never moves. */
export interface ItemResult {
  readonly id: string;
  readonly state: "completed" | "givenUp";
  /** Data of all events in order, joined by line feeds. */
  readonly text: string;
  /** Every weight version that made an event of the text, rising. */
  readonly versions: readonly number[];
  /** Receipt of the scoring call. */
  readonly score: string | undefined;
}

/** The front part of an item's text, kept so that any store can go on. */
export interface StoredText {
  /** Data of its events, joined by line feeds. */
  readonly text: string;
  /** Id of its last event; undefined where the text is whole. */
  readonly lastId: number | undefined;
  readonly versions: readonly number[];
}

/** Results of a submission from a position on. */
export interface ResultPage {
  readonly total: number;
  /** Position after the last result of the page. */
  readonly next: number;
  readonly results: readonly ItemResult[];
  /** Whether the submission has ended, so that no more is waited for. */
  readonly isEnded: boolean;
}
