import * as immutable from "immutable";
import type * as templates from "../rollout_template/mod.ts";
import * as samples from "./sample.ts";

/** A trainer's request for the samples of one step. */
export interface StepRequest {
  readonly account: string;
  readonly template: string;
  readonly trainer: string;
  readonly step: number;
  /** Number of samples per group. */
  readonly groupSize: number;
  /** Prompts, one per group. */
  readonly prompts: readonly string[];
}

/** A step of a trainer; each slot is bound once, to one sample. */
export interface RolloutStep {
  readonly id: string;
  readonly request: StepRequest;
  /** Id of the box that generates the samples. */
  readonly owner: string;
  /** Incremented with each change of owner; fences off earlier owners. */
  readonly ownerEpoch: number;
  /** Samples that are bound but not acknowledged, by slot. */
  readonly bound: immutable.Map<number, samples.Sample>;
  /** Slots that the trainer has acknowledged. */
  readonly acknowledged: immutable.Set<number>;
}

/** Reason why a sample was not bound. */
export type BindRefusal =
  | "alreadyBound"
  | "stale"
  | "otherOwner"
  | "noSuchSlot";

/** Outcome of binding one sample. */
export interface BindAnswer {
  readonly slot: number;
  readonly sampleId: string;
  /** Undefined if the sample is bound. */
  readonly refusal: BindRefusal | undefined;
}

/** Samples offered for binding, and the state to check them against. */
export interface BindOffer {
  readonly ownerEpoch: number;
  readonly samples: readonly samples.Sample[];
  readonly currentVersion: number;
  readonly stalenessBound: templates.StalenessBound;
}

/** A step after an offer, with the outcome of each sample. */
export interface BindOutcome {
  readonly step: RolloutStep;
  readonly answers: readonly BindAnswer[];
}

/**
 * Formats the id of a step.
 *
 * @param request Client account, rollout template and number of the step.
 * @returns The id, unique in the deployment.
 */
export function formatStepId(
  request: Pick<StepRequest, "account" | "template" | "step">,
): string {
  return `${request.account}/${request.template}/${request.step}`;
}

/**
 * Creates a step with empty slots.
 *
 * @param request The request of the trainer.
 * @param owner Id of the box that generates the samples.
 * @returns The step, with owner epoch 1.
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
 * Reassigns a step to a box. The owner epoch changes only with the owner.
 *
 * @param step The step.
 * @param owner Id of the new owner.
 * @returns The step with the new owner.
 */
export function reassignStep(step: RolloutStep, owner: string): RolloutStep {
  if (step.owner === owner) return step;
  return { ...step, owner, ownerEpoch: step.ownerEpoch + 1 };
}

/**
 * Counts the slots of a step.
 *
 * @param step The step.
 * @returns Number of groups times group size.
 */
export function countSlots(step: Pick<RolloutStep, "request">): number {
  return step.request.prompts.length * step.request.groupSize;
}

/**
 * Tells whether the trainer has acknowledged all slots.
 *
 * @param step The step.
 * @returns Whether the step is complete.
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
 * Binds samples to their slots. A bound sample is never replaced; offering the
 * same sample again succeeds.
 *
 * @param step The step.
 * @param offer The samples and the state to check them against.
 * @returns The updated step and the outcome of each sample, in order.
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
 * Marks slots as acknowledged by the trainer and drops their samples.
 *
 * @param step The step.
 * @param slots Slots that the trainer received; unbound ones are ignored.
 * @returns The updated step.
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
