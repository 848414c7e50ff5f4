import * as claims from "../call_claim/mod.ts";
import * as changes from "./_changes.ts";
import * as steps from "./_steps.ts";
import type * as commands from "./command.ts";
import type * as replicatedStates from "./replicated_state.ts";

/**
 * Applies a command. The same commands in the same order give the same state
 * on every replica: no clock, no random number, no I/O.
 *
 * @param state The state.
 * @param command The command.
 * @returns The next state and the answer.
 */
export function applyCommand(
  state: replicatedStates.ReplicatedState,
  command: commands.Command,
): changes.ApplyResult {
  switch (command.kind) {
    case "noOperation":
      return { state, answer: { kind: "done" } };
    case "setAccount":
      return changes.applySetAccount(state, command);
    case "setTemplate":
      return changes.applySetTemplate(state, command);
    case "setServerRole":
      return changes.applySetServerRole(state, command);
    case "publishModel":
      return changes.applyPublishModel(state, command);
    case "claimCall":
      return applyClaimCall(state, command);
    case "finishCall":
      return applyFinishCall(state, command);
    case "releaseCall":
      return applyReleaseCall(state, command);
    case "openStep":
      return steps.applyOpenStep(state, command);
    case "takeStep":
      return steps.applyTakeStep(state, command);
    case "bindSamples":
      return steps.applyBindSamples(state, command);
    case "acknowledgeSamples":
      return steps.applyAcknowledgeSamples(state, command);
    case "forgetOld":
      return applyForgetOld(state, command);
  }
}

function applyClaimCall(
  state: replicatedStates.ReplicatedState,
  command: commands.ClaimCall,
): changes.ApplyResult {
  const { key, digest, claimId, atMs } = command;
  const pending: claims.ClaimState = { kind: "pending" };
  const requested = { digest, claimId, atMs, state: pending };
  const decision = claims.decideClaim(state.claims.get(key), requested);
  if (decision.kind !== "claimed") return { state, answer: decision };
  const next = { ...state, claims: state.claims.set(key, decision.claim) };
  return { state: next, answer: { kind: "claimed" } };
}

function applyFinishCall(
  state: replicatedStates.ReplicatedState,
  command: commands.FinishCall,
): changes.ApplyResult {
  const { key, claimId } = command;
  const held = state.claims.get(key);
  if (!claims.isPendingClaimOf(held, claimId)) {
    return { state, answer: { kind: "done" } };
  }
  const finished = { ...held, state: command.state };
  const next = { ...state, claims: state.claims.set(key, finished) };
  return { state: next, answer: { kind: "done" } };
}

function applyReleaseCall(
  state: replicatedStates.ReplicatedState,
  command: commands.ReleaseCall,
): changes.ApplyResult {
  const { key, claimId } = command;
  if (!claims.isPendingClaimOf(state.claims.get(key), claimId)) {
    return { state, answer: { kind: "done" } };
  }
  const next = { ...state, claims: state.claims.delete(key) };
  return { state: next, answer: { kind: "done" } };
}

function applyForgetOld(
  state: replicatedStates.ReplicatedState,
  command: commands.ForgetOld,
): changes.ApplyResult {
  const { beforeMs } = command;
  const next: replicatedStates.ReplicatedState = {
    ...state,
    claims: state.claims.filter((claim) => claim.atMs >= beforeMs),
    requests: state.requests.filter((request) => request.atMs >= beforeMs),
  };
  return { state: next, answer: { kind: "done" } };
}
