import type * as capacityStates from "../capacity/capacity_state.ts";
import type * as accounts from "../client_account/mod.ts";
import type * as crashRecords from "../crash_record/mod.ts";
import type * as dutyLeases from "../duty/duty_lease.ts";
import type * as registry from "../registry/mod.ts";
import type * as usageStates from "../usage/usage_state.ts";
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
export interface TextToStore {
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
  | { readonly kind: "keepTexts"; readonly texts: readonly TextToStore[] }
  | dutyLeases.NoteHolder
  | usageStates.UsageCommand
  | capacityStates.CapacityCommand
  /** Notes which engines run, for a leader that has not heard them yet. */
  | {
    readonly kind: "keepEngines";
    readonly added: readonly registry.ServerReport[];
    /** Ids; one leader proposes, from a registry with one start for each. */
    readonly gone: readonly string[];
  }
  /** Notes which work servers ended under. */
  | {
    readonly kind: "keepCrashes";
    readonly records: readonly crashRecords.CrashRecord[];
    /** Wall time of the proposal, in ms; older records go by it. */
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

/** What became of a command. */
export interface SubmissionAnswer {
  /** Whether the thing named by the command exists. */
  readonly isKnown: boolean;
}
