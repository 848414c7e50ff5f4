import * as zlib from "node:zlib";
import * as z from "zod";
import type * as backendServers from "../backend_server/mod.ts";
import * as httpClient from "../http_client/mod.ts";
import * as results from "../results/mod.ts";

const CALL_TIMEOUT_MS = 800;
/** Characters of a prompt that engines hash as its prefix. */
const PREFIX_LENGTH = 32;

const eventsSchema = z.object({
  events: z.array(
    z.object({
      sequence: z.number().int(),
      kind: z.enum(["stored", "evicted"]),
      prefix: z.string(),
    }).readonly(),
  ).readonly(),
}).readonly();

/** An engine stored or evicted a prompt prefix. */
export type CacheEvent = z.infer<typeof eventsSchema>["events"][number];

/**
 * Gives the prefix of a prompt as engines name it in their events.
 *
 * @param prompt The prompt.
 * @returns CRC-32 of its first 32 characters, in hex.
 */
export function hashPrefix(prompt: string): string {
  return zlib.crc32(prompt.slice(0, PREFIX_LENGTH)).toString(16);
}

/**
 * Reads an engine's cache events: `GET /v1/cache-events?after=N`. They come
 * late, and some never come.
 *
 * @param server The engine.
 * @param after Last sequence number that was read.
 * @returns The events after it, in order.
 */
export async function readCacheEvents(
  server: backendServers.BackendServer,
  after: number,
): Promise<results.Result<readonly CacheEvent[]>> {
  const answer = await httpClient.sendJson({
    baseUrl: `http://${server.address}:${server.port}`,
    path: `/v1/cache-events?after=${after}`,
    method: "GET",
    timeoutMs: CALL_TIMEOUT_MS,
  });
  if (answer.kind === "failure") return answer;
  const parsed = eventsSchema.safeParse(answer.value.json);
  if (parsed.success) return results.createOk(parsed.data.events);
  return results.createFailure(
    "connectFailed",
    `Cannot read the cache events of ${server.id}`,
  );
}
