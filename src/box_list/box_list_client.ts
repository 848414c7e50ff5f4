import * as z from "zod";
import * as backendServers from "../backend_server/mod.ts";
import * as httpClient from "../http_client/mod.ts";
import * as results from "../results/mod.ts";

/** Characters of an id in a log line at most. */
const MAX_ID_LENGTH = 80;

const boxListSchema = z.object({ servers: z.array(z.unknown()).readonly() });

const idSchema = z.object({ id: z.string().max(MAX_ID_LENGTH) });

/** An entry that names no server to use. */
export interface InvalidEntry {
  /** Its id, as far as that can be told. */
  readonly id: string;
  /** Field at fault. */
  readonly field: string;
}

/** What a box list says. */
export interface BoxList {
  readonly servers: readonly backendServers.BackendServer[];
  readonly invalidEntries: readonly InvalidEntry[];
}

const CALL_TIMEOUT_MS = 1_000;

/** Reads the platform's box list: `GET /boxes`. */
export class BoxListClient {
  readonly #baseUrl: string;

  /** @param baseUrl Address of the box list service. */
  constructor(baseUrl: string) {
    this.#baseUrl = baseUrl;
  }

  /**
   * Reads the backend servers that are live or leaving. An entry that can't be
   * read, as one of another writer, names no server; the others hold.
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
  return { servers: [...servers.values()], invalidEntries: invalidEntries };
}

function readId(entry: unknown): string {
  const parsed = idSchema.safeParse(entry);
  return parsed.success ? parsed.data.id : "";
}
