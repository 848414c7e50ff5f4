import type * as backends from "../backend_server/mod.ts";
import type * as claims from "../call_claim/mod.ts";
import type * as steps from "../rollout_step/mod.ts";

/** Who asks for a change, and how a resend is recognised. */
export interface ChangeOrigin {
  readonly operator: string;
  readonly requestId: string;
  /** Wall time at the leader, in ms since the epoch. */
  readonly atMs: number;
}

/** Values to set, by parameter name; checked when the command is applied. */
export type ChangeValues = Readonly<Record<string, unknown>>;

/** Sets a client account. */
export interface SetAccount {
  readonly kind: "setAccount";
  readonly origin: ChangeOrigin;
  /** Revision that the change was made against; 0 to create. */
  readonly baseRevision: number;
  readonly id: string;
  /** Hashes of the valid tokens; undefined leaves them. */
  readonly tokenSha256s: readonly string[] | undefined;
  /** Policy values to set. */
  readonly change: ChangeValues;
}

/** Sets a rollout template. */
export interface SetTemplate {
  readonly kind: "setTemplate";
  readonly origin: ChangeOrigin;
  /** Revision that the change was made against; 0 to create. */
  readonly baseRevision: number;
  readonly account: string;
  readonly name: string;
  /** Parameters to set. */
  readonly change: ChangeValues;
}

/** Sets the role of an engine. */
export interface SetServerRole {
  readonly kind: "setServerRole";
  readonly origin: ChangeOrigin;
  /** Revision that the change was made against; 0 for the first. */
  readonly baseRevision: number;
  readonly server: string;
  readonly role: backends.ServerRole;
}

/** Notes a weight version found in the weight store. */
export interface PublishModel {
  readonly kind: "publishModel";
  readonly model: string;
  readonly weightVersion: number;
}

/** Claims a call that must not be repeated. */
export interface ClaimCall {
  readonly kind: "claimCall";
  readonly key: string;
  readonly digest: string;
  readonly claimId: string;
  readonly atMs: number;
}

/** Ends a claimed call: its answer is kept, or that its end is unknown. */
export interface FinishCall {
  readonly kind: "finishCall";
  readonly key: string;
  readonly claimId: string;
  readonly state: Exclude<claims.ClaimState, { readonly kind: "pending" }>;
}

/** Gives up the claim of a call that surely did not run. */
export interface ReleaseCall {
  readonly kind: "releaseCall";
  readonly key: string;
  readonly claimId: string;
}

/** Opens a step, or finds it open. */
export interface OpenStep {
  readonly kind: "openStep";
  readonly request: steps.StepRequest;
  readonly box: string;
  /** Boxes that serve; a step of one of them stays with it. */
  readonly liveBoxes: readonly string[];
}

/** Makes a box the owner of an open step. */
export interface TakeStep {
  readonly kind: "takeStep";
  readonly stepId: string;
  readonly box: string;
  /** Boxes that serve; a step of one of them stays with it. */
  readonly liveBoxes: readonly string[];
}

/** Binds samples to slots. */
export interface BindSamples {
  readonly kind: "bindSamples";
  readonly stepId: string;
  readonly ownerEpoch: number;
  readonly trainerVersion: number;
  readonly samples: readonly steps.Sample[];
}

/** Notes that the trainer holds samples. */
export interface AcknowledgeSamples {
  readonly kind: "acknowledgeSamples";
  readonly stepId: string;
  readonly slots: readonly number[];
}

/** Forgets claims and request ids that are older than a time. */
export interface ForgetOld {
  readonly kind: "forgetOld";
  readonly beforeMs: number;
}

/** A change to the replicated state. */
export type Command =
  | { readonly kind: "noOperation" }
  | SetAccount
  | SetTemplate
  | SetServerRole
  | PublishModel
  | ClaimCall
  | FinishCall
  | ReleaseCall
  | OpenStep
  | TakeStep
  | BindSamples
  | AcknowledgeSamples
  | ForgetOld;

/** What a box needs to work on a step. */
export interface StepView {
  readonly stepId: string;
  readonly request: steps.StepRequest;
  readonly ownerEpoch: number;
  readonly bound: readonly steps.Sample[];
  readonly acknowledged: readonly number[];
}

/** The answer to a command. */
export type CommandAnswer =
  | { readonly kind: "done" }
  | { readonly kind: "accepted"; readonly revision: number }
  | {
    readonly kind: "conflict";
    /** The revision that won. */
    readonly revision: number;
    /** Request id of the change that won. */
    readonly wonBy: string;
  }
  | { readonly kind: "requestReused" }
  | { readonly kind: "badParameters"; readonly message: string }
  | { readonly kind: "unknownAccount" }
  | { readonly kind: "unknownStep" }
  | { readonly kind: "step"; readonly step: StepView }
  | { readonly kind: "ownedBy"; readonly box: string }
  | { readonly kind: "binding"; readonly answers: readonly steps.BindAnswer[] }
  | Exclude<claims.ClaimDecision, { readonly kind: "claimed" }>
  | { readonly kind: "claimed" };
