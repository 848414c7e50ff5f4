import * as z from "zod";
import * as backends from "../backend_server/mod.ts";
import * as httpClient from "../http_client/mod.ts";
import * as results from "../results/mod.ts";

const boxListSchema = z.object({
  servers: z.array(backends.backendServerSchema).readonly(),
});

const TIMEOUT_MS = 1_000;

/** Reads the platform's box list: `GET /boxes`. */
export class BoxListClient {
  readonly #baseUrl: string;

  /** @param baseUrl Address of the box list service. */
  constructor(baseUrl: string) {
    this.#baseUrl = baseUrl;
  }

  /** Reads the backend servers that are live or leaving. */
  async readServers(): Promise<
    results.Result<readonly backends.BackendServer[]>
  > {
    const answer = await httpClient.sendJson({
      baseUrl: this.#baseUrl,
      path: "/boxes",
      method: "GET",
      timeoutMs: TIMEOUT_MS,
    });
    if (answer.kind === "failure") return answer;
    const parsed = boxListSchema.safeParse(answer.value.json);
    if (parsed.success) return results.createOk(parsed.data.servers);
    return results.createFailure(
      "connectFailed",
      `Cannot read the box list: ${parsed.error.message}`,
    );
  }
}
