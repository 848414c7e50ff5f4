import type * as backendServers from "../backend_server/mod.ts";
import type * as claims from "../call_claim/mod.ts";
import type * as steps from "../rollout_step/mod.ts";

/** Who requested a change, and the id by which a resend is recognised. */
export interface ChangeOrigin {
  readonly operator: string;
  readonly requestId: string;
  /** Wall time at the leader, in ms since the epoch. */
  readonly atMs: number;
}

/** Values to set, by parameter name; validated when the command is applied. */
export type ChangeValues = Readonly<Record<string, unknown>>;

/** Creates or changes a client account. */
export interface SetAccount {
  readonly kind: "setAccount";
  readonly origin: ChangeOrigin;
  /** Revision that the change was made against; 0 to create. */
  readonly baseRevision: number;
  readonly id: string;
  /** SHA-256 hashes of the valid tokens; undefined keeps the present ones. */
  readonly tokenSha256s: readonly string[] | undefined;
  /** Policy values to set. */
  readonly change: ChangeValues;
}

/** Creates or changes a rollout template. */
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

/** Sets the role of a backend server. */
export interface SetServerRole {
  readonly kind: "setServerRole";
  readonly origin: ChangeOrigin;
  /** Revision that the change was made against; 0 if no role is set yet. */
  readonly baseRevision: number;
  readonly server: string;
  readonly role: backendServers.ServerRole;
}

/** Records a weight version that was found in the weight store. */
export interface PublishModel {
  readonly kind: "publishModel";
  readonly model: string;
  readonly weightVersion: number;
}

/** Claims a call that must run at most once. */
export interface ClaimCall {
  readonly kind: "claimCall";
  /** Idempotency key of the call. */
  readonly key: string;
  /** Digest of the call; a key is valid for one call only. */
  readonly digest: string;
  /** Id of the attempt that makes the claim. */
  readonly claimId: string;
  /** Wall time at the leader, in ms since the epoch. */
  readonly atMs: number;
}

/** Ends a claimed call with its answer, or with an unknown outcome. */
export interface FinishCall {
  readonly kind: "finishCall";
  readonly key: string;
  readonly claimId: string;
  readonly state: Exclude<claims.ClaimState, { readonly kind: "pending" }>;
}

/** Releases the claim of a call that certainly did not run. */
export interface ReleaseCall {
  readonly kind: "releaseCall";
  readonly key: string;
  readonly claimId: string;
}

/** Opens a step, or takes over the one with the same id. */
export interface OpenStep {
  readonly kind: "openStep";
  readonly request: steps.StepRequest;
  readonly box: string;
  /** Boxes that are serving; a step owned by one of them is not taken over. */
  readonly liveBoxes: readonly string[];
}

/** Makes a box the owner of a known step. */
export interface TakeStep {
  readonly kind: "takeStep";
  readonly stepId: string;
  readonly box: string;
  /** Boxes that are serving; a step owned by one of them is not taken over. */
  readonly liveBoxes: readonly string[];
}

/** Binds samples to slots of a step. */
export interface BindSamples {
  readonly kind: "bindSamples";
  readonly stepId: string;
  /** Epoch of the sender's ownership; samples of an earlier one are refused. */
  readonly ownerEpoch: number;
  /** Weight version that the trainer reported. */
  readonly trainerVersion: number;
  readonly samples: readonly steps.Sample[];
}

/** Records that the trainer has received the samples of some slots. */
export interface AcknowledgeSamples {
  readonly kind: "acknowledgeSamples";
  readonly stepId: string;
  readonly slots: readonly number[];
}

/** Removes the claims and answered requests older than a wall time. */
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

/** A step as its owner sees it. */
export interface StepView {
  readonly stepId: string;
  readonly request: steps.StepRequest;
  readonly ownerEpoch: number;
  /** Bound samples that are not acknowledged yet. */
  readonly bound: readonly steps.Sample[];
  /** Slots whose samples are acknowledged. */
  readonly acknowledged: readonly number[];
}

/** The answer to a command. */
export type CommandAnswer =
  | { readonly kind: "done" }
  | { readonly kind: "accepted"; readonly revision: number }
  | {
    readonly kind: "conflict";
    /** Current revision, which the change was not made against. */
    readonly revision: number;
    /** Request id of the change that set it; empty if not in the audit trail. */
    readonly wonBy: string;
  }
  /** The request id was used for another change. */
  | { readonly kind: "requestReused" }
  | { readonly kind: "badParameters"; readonly message: string }
  | { readonly kind: "unknownAccount" }
  | { readonly kind: "unknownStep" }
  | { readonly kind: "step"; readonly step: StepView }
  /** The step stays with its owner, which still serves. */
  | { readonly kind: "ownedBy"; readonly box: string }
  | { readonly kind: "binding"; readonly answers: readonly steps.BindAnswer[] }
  | Exclude<claims.ClaimDecision, { readonly kind: "claimed" }>
  | { readonly kind: "claimed" };
