import * as callSeeds from "./_call_seed.ts";
import type * as groupFoundings from "./_group_founding.ts";
import * as messages from "./founding_message.ts";

/** Options of {@linkcode createFoundingMember}. */
export interface FoundingMemberOptions extends callSeeds.CallSeedOptions {
  /** Id of this box. */
  readonly id: string;
  /** Ids of all seeds. */
  readonly seeds: readonly string[];
}

/**
 * Creates a box's access to the seeds that agree on the initial voters.
 *
 * @returns The member; undefined if there are no seeds.
 */
export function createFoundingMember(
  options: FoundingMemberOptions,
): groupFoundings.FoundingMember | undefined {
  const { id, seeds: ids } = options;
  if (ids.length === 0) return undefined;
  return {
    id,
    seeds: {
      ids,
      prepare: (seed, request) =>
        callSeeds.callSeed(options, seed, {
          method: messages.PREPARE_METHOD,
          request,
        }),
      accept: (seed, request) =>
        callSeeds.callSeed(options, seed, {
          method: messages.ACCEPT_METHOD,
          request,
        }),
    },
  };
}
