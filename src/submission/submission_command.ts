import type * as capacityStates from "../capacity/capacity_state.ts";
import type * as accounts from "../client_account/mod.ts";
import type * as crashRecords from "../crash_record/mod.ts";
import type * as dutyLeases from "../duty/duty_lease.ts";
import type * as registry from "../registry/mod.ts";
import type * as usageStates from "../usage/usage_state.ts";
import type * as submissions from "./submission.ts";

/** A result to append to those of a submission. */
export interface RecordedResult {
  readonly submission: string;
  /** The result; its text follows the stored part if `keptLastId` is set. */
  readonly result: submissions.ItemResult;
  /** Last event of the stored part; undefined if the text is complete. */
  readonly keptLastId?: number | undefined;
}

/** A part of an item's text to store. */
export interface TextToStore {
  readonly submission: string;
  readonly item: string;
  /** Last event of the part stored before; undefined to replace that part. */
  readonly afterId: number | undefined;
  readonly text: string;
  readonly lastId: number;
  readonly versions: readonly number[];
}

/** A command in the replicated log of the store boxes. */
export type SubmissionCommand =
  | {
    readonly kind: "acceptSubmission";
    readonly submission: submissions.Submission;
  }
  | {
    readonly kind: "recordResults";
    readonly results: readonly RecordedResult[];
  }
  | { readonly kind: "keepTexts"; readonly texts: readonly TextToStore[] }
  | dutyLeases.NoteHolder
  | usageStates.UsageCommand
  | capacityStates.CapacityCommand
  /** Records running engines for a new leader that has no reports yet. */
  | {
    readonly kind: "keepEngines";
    readonly added: readonly registry.ServerReport[];
    /** Ids of engines that no longer run. */
    readonly gone: readonly string[];
  }
  /** Records requests that servers crashed on. */
  | {
    readonly kind: "keepCrashes";
    readonly records: readonly crashRecords.CrashRecord[];
    /** Wall time of the proposal, in ms, by which old records expire. */
    readonly nowMs: number;
  }
  | {
    readonly kind: "endSubmission";
    readonly id: string;
    readonly sender: accounts.Sender;
  }
  | {
    readonly kind: "nameVersion";
    readonly model: string;
    readonly version: number;
  }
  | { readonly kind: "retireBox"; readonly box: string }
  | { readonly kind: "forgetSubmissions"; readonly ids: readonly string[] };

/** Outcome of a command. */
export interface SubmissionAnswer {
  /**
   * False if the submission does not exist or is not the sender's, or if a text
   * does not follow the stored part.
   */
  readonly isKnown: boolean;
}
