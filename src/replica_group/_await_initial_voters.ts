import * as clocks from "../clock/mod.ts";
import type * as messages from "./founding_message.ts";

/** Time between two requests to one seed, in ms. */
const RETRY_INTERVAL_MS = 250;
/**
 * Time for which the other seeds are still asked after a majority refused, in ms:
 * they may know that voters were chosen before those seeds restarted.
 */
const REFUSED_WAIT_MS = 4_000;

/** Options of {@linkcode awaitInitialVoters}. */
export interface AwaitInitialVotersOptions {
  readonly clock: clocks.Clock;
  /** Ids of all seeds. */
  readonly seeds: readonly string[];
  /** Asks one seed; resolves to undefined if the call fails. */
  readonly ask: (seed: string) => Promise<messages.BootstrapReply | undefined>;
  readonly isStopped: () => boolean;
}

/** What the seeds said of a group's first start. */
export type InitialVoters =
  | messages.Founded
  /** A majority of the seeds has restarted, so no box can found the group now. */
  | { readonly kind: "refused" }
  | { readonly kind: "stopped" };

/**
 * Asks all seeds, each again after a pause, until one knows the initial voters or
 * they can no longer be chosen.
 *
 * @param options The seeds and how to ask them.
 * @returns What they said.
 */
export async function awaitInitialVoters(
  options: AwaitInitialVotersOptions,
): Promise<InitialVoters> {
  const { clock, seeds } = options;
  const replies = new Map<string, messages.BootstrapReply>();
  const asked = new Set<string>();
  let refusedSinceMs: number | undefined;
  while (!options.isStopped()) {
    for (const seed of seeds) void askSeed(options, seed, asked, replies);
    await clocks.sleep(clock, RETRY_INTERVAL_MS);
    const known = [...replies.values()];
    const founded = known.find((reply) => reply.kind === "founded");
    if (founded !== undefined) return founded;
    const refused = known.filter((reply) => reply.kind === "refused").length;
    if (refused <= seeds.length / 2) continue;
    const nowMs = clock.getMonotonicMs();
    refusedSinceMs ??= nowMs;
    if (nowMs - refusedSinceMs > REFUSED_WAIT_MS) return { kind: "refused" };
  }
  return { kind: "stopped" };
}

/** Asks a seed unless a call to it is still open, and keeps its reply. */
async function askSeed(
  { ask }: AwaitInitialVotersOptions,
  seed: string,
  asked: Set<string>,
  replies: Map<string, messages.BootstrapReply>,
): Promise<void> {
  if (asked.has(seed)) return;
  asked.add(seed);
  const reply = await ask(seed);
  asked.delete(seed);
  if (reply !== undefined) replies.set(seed, reply);
}
