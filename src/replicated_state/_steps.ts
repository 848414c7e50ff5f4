import * as steps from "../rollout_step/mod.ts";
import * as templates from "../rollout_template/mod.ts";
import type * as changes from "./_changes.ts";
import type * as commands from "./command.ts";
import type * as replicatedStates from "./replicated_state.ts";

/** Complete steps of a template that are remembered, for late repeats. */
const KEPT_COMPLETE_STEPS = 64;

function createView(step: steps.RolloutStep): commands.StepView {
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
): changes.Applied {
  const known = state.steps.get(steps.formatStepId(command.request));
  if (known !== undefined) return takeKnownStep(state, known, command);
  const step = steps.createStep(command.request, command.box);
  return {
    state: putStep(state, step),
    answer: { kind: "step", step: createView(step) },
  };
}

/** Makes a box the owner of a step whose owner no longer serves. */
export function applyTakeStep(
  state: replicatedStates.ReplicatedState,
  command: commands.TakeStep,
): changes.Applied {
  const known = state.steps.get(command.stepId);
  if (known === undefined) return { state, answer: { kind: "unknownStep" } };
  return takeKnownStep(state, known, command);
}

function takeKnownStep(
  state: replicatedStates.ReplicatedState,
  known: steps.RolloutStep,
  command: Pick<commands.TakeStep, "box" | "liveBoxes">,
): changes.Applied {
  const { box, liveBoxes } = command;
  if (known.owner !== box && liveBoxes.includes(known.owner)) {
    return { state, answer: { kind: "ownedBy", box: known.owner } };
  }
  const step = steps.reassignStep(known, box);
  return {
    state: putStep(state, step),
    answer: { kind: "step", step: createView(step) },
  };
}

/** Binds samples under the staleness bound in force at this very entry. */
export function applyBindSamples(
  state: replicatedStates.ReplicatedState,
  command: commands.BindSamples,
): changes.Applied {
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
  const known = state.models.get(template.parameters.model)?.weightVersion ?? 0;
  const outcome = steps.bindSamples(step, {
    ownerEpoch: command.ownerEpoch,
    samples: command.samples,
    currentVersion: Math.max(known, command.trainerVersion),
    stalenessBound: templates.getStalenessBound(template, account),
  });
  return {
    state: putStep(state, outcome.step),
    answer: { kind: "binding", answers: outcome.answers },
  };
}

/** Notes what a trainer holds. */
export function applyAcknowledge(
  state: replicatedStates.ReplicatedState,
  command: commands.AcknowledgeSamples,
): changes.Applied {
  const known = state.steps.get(command.stepId);
  if (known === undefined) return { state, answer: { kind: "unknownStep" } };
  const step = steps.acknowledgeSlots(known, command.slots);
  const put = putStep(state, step);
  const next = steps.isComplete(step) ? forgetCompleteSteps(put, step) : put;
  return { state: next, answer: { kind: "done" } };
}

function forgetCompleteSteps(
  state: replicatedStates.ReplicatedState,
  newest: steps.RolloutStep,
): replicatedStates.ReplicatedState {
  const old = steps.formatStepId({
    ...newest.request,
    step: newest.request.step - KEPT_COMPLETE_STEPS,
  });
  const candidate = state.steps.get(old);
  if (candidate === undefined || !steps.isComplete(candidate)) return state;
  return { ...state, steps: state.steps.delete(old) };
}
