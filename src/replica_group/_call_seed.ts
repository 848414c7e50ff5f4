import type * as fleet from "../fleet/mod.ts";
import type * as logs from "../log/mod.ts";

/** Timeout of a call, in ms. */
const CALL_TIMEOUT_MS = 1_000;

/** Dependencies of {@linkcode callSeed}. */
export interface CallSeedOptions {
  readonly peers: fleet.Peers;
  readonly log: logs.Log;
}

/** A call about the founding of a replica group. */
export interface SeedCall {
  readonly method: string;
  readonly request: object;
}

/**
 * Calls a seed.
 *
 * @returns Its reply, or undefined if the call fails, which is logged.
 */
export async function callSeed<T>(
  { peers, log }: CallSeedOptions,
  seed: string,
  { method, request }: SeedCall,
): Promise<T | undefined> {
  try {
    return await peers.get(seed).call<T>(method, request, CALL_TIMEOUT_MS);
  } catch (error) {
    const { message } = error as Error;
    log.write("debug", "group.seedUnreachable", { seed, method, message });
    return undefined;
  }
}
