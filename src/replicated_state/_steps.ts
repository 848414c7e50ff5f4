import * as steps from "../rollout_step/mod.ts";
import * as templates from "../rollout_template/mod.ts";
import type * as changes from "./_changes.ts";
import type * as commands from "./command.ts";
import type * as replicatedStates from "./replicated_state.ts";

/** Complete steps of a template that are remembered, for late repeats. */
const MAX_RETAINED_COMPLETE_STEPS = 64;

function createStepView(step: steps.RolloutStep): commands.StepView {
  return {
    stepId: step.id,
    request: step.request,
    ownerEpoch: step.ownerEpoch,
    bound: [...step.bound.values()],
    acknowledged: [...step.acknowledged.values()],
  };
}

function putStep(
  state: replicatedStates.ReplicatedState,
  step: steps.RolloutStep,
): replicatedStates.ReplicatedState {
  return { ...state, steps: state.steps.set(step.id, step) };
}

/** Opens a step, or takes over the one that is open under the same id. */
export function applyOpenStep(
  state: replicatedStates.ReplicatedState,
  command: commands.OpenStep,
): changes.ApplyResult {
  const existing = state.steps.get(steps.formatStepId(command.request));
  if (existing !== undefined) return takeExistingStep(state, existing, command);
  const step = steps.createStep(command.request, command.box);
  return {
    state: putStep(state, step),
    answer: { kind: "step", step: createStepView(step) },
  };
}

/** Makes a box the owner of a step whose owner no longer serves. */
export function applyTakeStep(
  state: replicatedStates.ReplicatedState,
  command: commands.TakeStep,
): changes.ApplyResult {
  const existing = state.steps.get(command.stepId);
  if (existing === undefined) return { state, answer: { kind: "unknownStep" } };
  return takeExistingStep(state, existing, command);
}

function takeExistingStep(
  state: replicatedStates.ReplicatedState,
  existing: steps.RolloutStep,
  command: Pick<commands.TakeStep, "box" | "liveBoxes">,
): changes.ApplyResult {
  const { box, liveBoxes } = command;
  if (existing.owner !== box && liveBoxes.includes(existing.owner)) {
    return { state, answer: { kind: "ownedBy", box: existing.owner } };
  }
  const step = steps.reassignStep(existing, box);
  return {
    state: putStep(state, step),
    answer: { kind: "step", step: createStepView(step) },
  };
}

/** Binds samples under the staleness bound in force at this very entry. */
export function applyBindSamples(
  state: replicatedStates.ReplicatedState,
  command: commands.BindSamples,
): changes.ApplyResult {
  const step = state.steps.get(command.stepId);
  if (step === undefined) return { state, answer: { kind: "unknownStep" } };
  const { account: accountId, template: name } = step.request;
  const account = state.accounts.get(accountId);
  const template = state.templates.get(
    templates.formatTemplateKey(accountId, name),
  );
  if (account === undefined || template === undefined) {
    return { state, answer: { kind: "unknownAccount" } };
  }
  const publishedVersion =
    state.models.get(template.parameters.model)?.weightVersion ?? 0;
  const outcome = steps.bindSamples(step, {
    ownerEpoch: command.ownerEpoch,
    samples: command.samples,
    currentVersion: Math.max(publishedVersion, command.trainerVersion),
    stalenessBound: templates.getStalenessBound(template, account),
  });
  return {
    state: putStep(state, outcome.step),
    answer: { kind: "binding", answers: outcome.answers },
  };
}

/** Notes what a trainer holds. */
export function applyAcknowledgeSamples(
  state: replicatedStates.ReplicatedState,
  command: commands.AcknowledgeSamples,
): changes.ApplyResult {
  const existing = state.steps.get(command.stepId);
  if (existing === undefined) return { state, answer: { kind: "unknownStep" } };
  const step = steps.acknowledgeSlots(existing, command.slots);
  const updated = putStep(state, step);
  const next = steps.isComplete(step)
    ? removeExpiredStep(updated, step)
    : updated;
  return { state: next, answer: { kind: "done" } };
}

function removeExpiredStep(
  state: replicatedStates.ReplicatedState,
  completed: steps.RolloutStep,
): replicatedStates.ReplicatedState {
  const expiredId = steps.formatStepId({
    ...completed.request,
    step: completed.request.step - MAX_RETAINED_COMPLETE_STEPS,
  });
  const expired = state.steps.get(expiredId);
  if (expired === undefined || !steps.isComplete(expired)) return state;
  return { ...state, steps: state.steps.delete(expiredId) };
}
