import * as z from "zod";
import * as backends from "../backend_server/mod.ts";
import * as httpClient from "../http_client/mod.ts";
import * as results from "../results/mod.ts";

/** Characters of an id in a log line at most. */
const MAX_ID_CHARACTERS = 80;

const boxListSchema = z.object({ servers: z.array(z.unknown()).readonly() });

const namedSchema = z.object({ id: z.string().max(MAX_ID_CHARACTERS) });

/** An entry that names no server to use. */
export interface UnreadEntry {
  /** Its id, as far as that can be told. */
  readonly id: string;
  /** Field at fault. */
  readonly field: string;
}

/** What a box list says. */
export interface BoxList {
  readonly servers: readonly backends.BackendServer[];
  readonly unread: readonly UnreadEntry[];
}

const TIMEOUT_MS = 1_000;

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
      timeoutMs: TIMEOUT_MS,
    });
    if (answer.kind === "failure") return answer;
    const parsed = boxListSchema.safeParse(answer.value.json);
    if (parsed.success) {
      return results.createOk(readEntries(parsed.data.servers));
    }
    return results.createFailure(
      "connectFailed",
      `Cannot read the box list: ${parsed.error.message}`,
    );
  }
}

function readEntries(entries: readonly unknown[]): BoxList {
  const servers = new Map<string, backends.BackendServer>();
  const unread: UnreadEntry[] = [];
  for (const entry of entries) {
    const parsed = backends.backendServerSchema.safeParse(entry);
    if (parsed.success) {
      servers.set(parsed.data.id, parsed.data);
      continue;
    }
    const field = parsed.error.issues[0]?.path.map(String).join(".") ?? "";
    unread.push({ id: findId(entry), field });
  }
  return { servers: [...servers.values()], unread };
}

function findId(entry: unknown): string {
  const read = namedSchema.safeParse(entry);
  return read.success ? read.data.id : "";
}
