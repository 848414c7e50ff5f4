import * as z from "zod";
import * as httpClient from "../http_client/mod.ts";
import * as results from "../results/mod.ts";

const latestVersionsSchema = z.object({
  models: z.array(
    z.object({
      model: z.string(),
      weightVersion: z.number().int(),
    }).readonly(),
  ).readonly(),
});

/** The newest version of a model in the store. */
export interface StoredVersion {
  readonly model: string;
  readonly weightVersion: number;
}

const CALL_TIMEOUT_MS = 1_000;

/** Reads the weight store: `GET /v1/models`. */
export class WeightStoreClient {
  readonly #baseUrl: string;

  /** @param baseUrl Address of the weight store. */
  constructor(baseUrl: string) {
    this.#baseUrl = baseUrl;
  }

  /** Reads the newest version of each model. */
  async readLatest(): Promise<results.Result<readonly StoredVersion[]>> {
    const answer = await httpClient.sendJson({
      baseUrl: this.#baseUrl,
      path: "/v1/models",
      method: "GET",
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (answer.kind === "failure") return answer;
    const parsed = latestVersionsSchema.safeParse(answer.value.json);
    if (answer.value.status === 200 && parsed.success) {
      return results.createOk(parsed.data.models);
    }
    return results.createFailure(
      "connectFailed",
      `Cannot read the weight store: status ${answer.value.status}`,
    );
  }
}
