import * as z from "zod";
import * as backendServers from "../backend_server/mod.ts";
import * as httpClient from "../http_client/mod.ts";
import * as results from "../results/mod.ts";

/** Maximum length of an invalid entry's id, in characters. */
const MAX_ID_LENGTH = 80;

const boxListSchema = z.object({ servers: z.array(z.unknown()).readonly() });

const idSchema = z.object({ id: z.string().max(MAX_ID_LENGTH) });

/** A box list entry that does not match the schema. */
export interface InvalidEntry {
  /** The entry's id; empty if it is missing, invalid or too long. */
  readonly id: string;
  /** Path of the first invalid field; empty if the entry is not an object. */
  readonly field: string;
}

/** Content of a box list. */
export interface BoxList {
  readonly servers: readonly backendServers.BackendServer[];
  readonly invalidEntries: readonly InvalidEntry[];
}

const CALL_TIMEOUT_MS = 1_000;

/** Client of the platform's box list service: `GET /boxes`. */
export class BoxListClient {
  readonly #baseUrl: string;

  /** @param baseUrl Base URL of the box list service. */
  constructor(baseUrl: string) {
    this.#baseUrl = baseUrl;
  }

  /**
   * Reads the backend servers that are live or leaving. Invalid entries are
   * listed separately and do not affect the valid ones.
   *
   * @returns The list, or `connectFailed`.
   */
  async readServers(): Promise<results.Result<BoxList>> {
    const answer = await httpClient.sendJson({
      baseUrl: this.#baseUrl,
      path: "/boxes",
      method: "GET",
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (answer.kind === "failure") return answer;
    const parsed = boxListSchema.safeParse(answer.value.json);
    if (parsed.success) {
      return results.createOk(parseEntries(parsed.data.servers));
    }
    return results.createFailure(
      "connectFailed",
      `Cannot read the box list: ${parsed.error.message}`,
    );
  }
}

function parseEntries(entries: readonly unknown[]): BoxList {
  const servers = new Map<string, backendServers.BackendServer>();
  const invalidEntries: InvalidEntry[] = [];
  for (const entry of entries) {
    const parsed = backendServers.backendServerSchema.safeParse(entry);
    if (parsed.success) {
      servers.set(parsed.data.id, parsed.data);
      continue;
    }
    const field = parsed.error.issues[0]?.path.map(String).join(".") ?? "";
    invalidEntries.push({ id: readId(entry), field });
  }
  return { servers: [...servers.values()], invalidEntries };
}

function readId(entry: unknown): string {
  const parsed = idSchema.safeParse(entry);
  return parsed.success ? parsed.data.id : "";
}
