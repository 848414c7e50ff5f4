import * as immutable from "immutable";
import type * as templates from "../rollout_template/mod.ts";
import * as samples from "./sample.ts";

/** What a trainer asks for. */
export interface StepRequest {
  readonly account: string;
  readonly template: string;
  readonly trainer: string;
  readonly step: number;
  readonly groupSize: number;
  /** One prompt a group. */
  readonly prompts: readonly string[];
}

/** A step of a trainer: each slot is bound to one sample, once. */
export interface RolloutStep {
  readonly id: string;
  readonly request: StepRequest;
  /** Box that generates for the step. */
  readonly owner: string;
  /** Rises with each change of owner; an older owner's samples are refused. */
  readonly ownerEpoch: number;
  /** Bound samples that the trainer has not acknowledged. */
  readonly bound: immutable.Map<number, samples.Sample>;
  readonly acknowledged: immutable.Set<number>;
}

/** Why a sample was not bound. */
export type BindRefusal =
  | "alreadyBound"
  | "stale"
  | "otherOwner"
  | "noSuchSlot";

/** What became of one sample. */
export interface BindAnswer {
  readonly slot: number;
  readonly sampleId: string;
  /** Undefined when bound. */
  readonly refusal: BindRefusal | undefined;
}

/** Samples offered for binding. */
export interface BindOffer {
  readonly ownerEpoch: number;
  readonly samples: readonly samples.Sample[];
  readonly currentVersion: number;
  readonly stalenessBound: templates.StalenessBound;
}

/** A step after an offer, and what became of each sample. */
export interface BindOutcome {
  readonly step: RolloutStep;
  readonly answers: readonly BindAnswer[];
}

/**
 * Builds the id of a step.
 *
 * @param request The request.
 * @returns An id unique in the deployment.
 */
export function formatStepId(
  request: Pick<StepRequest, "account" | "template" | "step">,
): string {
  return `${request.account}/${request.template}/${request.step}`;
}

/**
 * Creates a step with all slots empty.
 *
 * @param request What the trainer asks for.
 * @param owner Box that generates for it.
 * @returns The step.
 */
export function createStep(request: StepRequest, owner: string): RolloutStep {
  return {
    id: formatStepId(request),
    request,
    owner,
    ownerEpoch: 1,
    bound: immutable.Map(),
    acknowledged: immutable.Set(),
  };
}

/**
 * Gives a step to a box; a box that owns it already keeps its epoch.
 *
 * @param step The step.
 * @param owner The box.
 * @returns The step under its owner.
 */
export function reassignStep(step: RolloutStep, owner: string): RolloutStep {
  if (step.owner === owner) return step;
  return { ...step, owner, ownerEpoch: step.ownerEpoch + 1 };
}

/**
 * Counts the slots of a step.
 *
 * @param step The step.
 * @returns Groups times group size.
 */
export function countSlots(step: Pick<RolloutStep, "request">): number {
  return step.request.prompts.length * step.request.groupSize;
}

/**
 * Tells whether every slot was acknowledged.
 *
 * @param step The step.
 * @returns Whether nothing is left to do.
 */
export function isComplete(step: RolloutStep): boolean {
  return step.acknowledged.size === countSlots(step);
}

function checkBinding(
  step: RolloutStep,
  offer: BindOffer,
  sample: samples.Sample,
): BindRefusal | undefined {
  if (sample.slot < 0 || sample.slot >= countSlots(step)) return "noSuchSlot";
  if (step.bound.get(sample.slot)?.sampleId === sample.sampleId) {
    return undefined;
  }
  if (step.bound.has(sample.slot) || step.acknowledged.has(sample.slot)) {
    return "alreadyBound";
  }
  if (offer.ownerEpoch !== step.ownerEpoch) return "otherOwner";
  return samples.isFresh(sample, offer.currentVersion, offer.stalenessBound)
    ? undefined
    : "stale";
}

/**
 * Binds samples to their slots; what is bound is never replaced.
 *
 * @param step The step.
 * @param offer The samples and what they are checked against.
 * @returns The step and an answer for each sample.
 */
export function bindSamples(step: RolloutStep, offer: BindOffer): BindOutcome {
  return offer.samples.reduce<BindOutcome>((outcome, sample) => {
    const refusal = checkBinding(outcome.step, offer, sample);
    const { slot, sampleId } = sample;
    const answers = [...outcome.answers, { slot, sampleId, refusal }];
    if (refusal !== undefined) return { step: outcome.step, answers };
    const bound = outcome.step.bound.set(slot, sample);
    return { step: { ...outcome.step, bound }, answers };
  }, { step, answers: [] });
}

/**
 * Notes what the trainer holds; the bodies are no longer needed.
 *
 * @param step The step.
 * @param slots Slots that the trainer received.
 * @returns The step; slots that were never bound are ignored.
 */
export function acknowledgeSlots(
  step: RolloutStep,
  slots: readonly number[],
): RolloutStep {
  const known = slots.filter((slot) => step.bound.has(slot));
  return {
    ...step,
    bound: step.bound.deleteAll(known),
    acknowledged: step.acknowledged.union(known),
  };
}
