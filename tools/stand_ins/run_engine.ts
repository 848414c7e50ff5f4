import * as generator from "pure-rand/generator/xoroshiro128plus";
import * as distribution from "pure-rand/distribution/uniformFloat64";
import * as engineCores from "./engine_core.ts";
import * as jsonServers from "./json_server.ts";
import * as ledgers from "./ledger.ts";

/** Settings of an engine process, passed as JSON in its first argument. */
export interface EngineProcessSettings extends engineCores.EngineSettings {
  readonly address: string;
  readonly port: number;
  readonly ledgerFile: string;
  /** Base URL of the weight store. */
  readonly storeUrl: string;
  /** Whether orders with an outdated fencing number are refused. */
  readonly checksFence: boolean;
  /** Duration of a weight swap, in ms. */
  readonly swapMs: number;
  /** Share of weight swaps that fail, from 0 to 1. */
  readonly failedSwaps: number;
  /** Share of the load reports that are malformed, from 0 to 1. */
  readonly wrongReports: number;
  /** Interval between updates of the load report, in ms. */
  readonly reportLagMs: number;
}

/** Serves completions, load reports, cache events and orders over HTTP. */
class EngineProcess {
  readonly #settings: EngineProcessSettings;
  readonly #ledger: ledgers.LedgerWriter;
  readonly #core: engineCores.EngineCore;
  readonly #random: ReturnType<typeof generator.xoroshiro128plus>;
  readonly #startedAtMs = Date.now();
  #report: object;
  #highestFence = 0;

  constructor(settings: EngineProcessSettings) {
    this.#settings = settings;
    this.#ledger = new ledgers.LedgerWriter(settings.ledgerFile);
    this.#core = new engineCores.EngineCore(settings, this.#ledger);
    this.#random = generator.xoroshiro128plus(settings.index);
    this.#report = this.#describe();
  }

  /** Builds the load report, malformed for a share of the calls. */
  #describe(): object {
    const report = { ...this.#core.describe(), born: this.#startedAtMs };
    const isReadable = distribution.uniformFloat64(this.#random) >=
      this.#settings.wrongReports;
    return isReadable ? report : { ...report, slots: "many" };
  }

  async start(): Promise<void> {
    const { address, port, reportLagMs } = this.#settings;
    this.#core.start();
    setInterval(() => {
      this.#report = this.#describe();
    }, reportLagMs);
    await jsonServers.startServer(
      address,
      port,
      (request) => this.#handleRequest(request),
    );
  }

  #handleRequest(request: jsonServers.StandInRequest): Promise<void> | void {
    switch (`${request.method} ${request.path}`) {
      case "GET /v1/status":
        return jsonServers.answerJson(request.response, 200, this.#report);
      case "GET /v1/cache-events": {
        const events = this.#core.listCacheEvents(
          Number(request.query.get("after")),
        );
        return jsonServers.answerJson(request.response, 200, { events });
      }
      case "POST /v1/completions":
        return this.#generate(request);
      case "POST /v1/orders":
        return this.#handleOrder(request);
      default:
        return jsonServers.answerJson(request.response, 404, {});
    }
  }

  #generate({ json, response }: jsonServers.StandInRequest): void {
    const model = String(json["model"]);
    if (this.#core.getVersion(model) === undefined) {
      return jsonServers.answerJson(response, 404, {
        error: "the model is not loaded",
      });
    }
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.flushHeaders();
    this.#core.add({
      model,
      prompt: String(json["prompt"]),
      priority: Number(json["priority"] ?? 0),
      position: ((json["resume_tokens"] ?? []) as readonly number[]).length,
      maxTokens: Number(json["max_tokens"]),
      response,
    });
  }

  async #handleOrder(
    { json, response }: jsonServers.StandInRequest,
  ): Promise<void> {
    const fence = Number(json["fence"]);
    const isFenced = this.#settings.checksFence && fence < this.#highestFence;
    const isTaken = !isFenced && !this.#core.isSwapping();
    const model = String(json["model"] ?? "");
    const weightVersion = Number(json["weight_version"] ?? 0);
    this.#ledger.add({
      kind: "order",
      engine: this.#settings.id,
      model,
      weightVersion,
      fence,
      isTaken,
      atMs: Date.now(),
    });
    if (isFenced) {
      return jsonServers.answerJson(response, 409, {
        error: "the fencing number is old",
      });
    }
    if (!isTaken) {
      return jsonServers.answerJson(response, 503, {
        error: "a swap is under way",
      });
    }
    this.#highestFence = Math.max(this.#highestFence, fence);
    if (json["kind"] === "set_role") {
      this.#core.setRole(String(json["role"]));
      return jsonServers.answerJson(response, 200, {});
    }
    const isLoaded = await this.#loadWeights(model, weightVersion);
    jsonServers.answerJson(response, isLoaded ? 200 : 503, {});
  }

  async #loadWeights(model: string, weightVersion: number): Promise<boolean> {
    const path = `/v1/models/${
      encodeURIComponent(model)
    }/versions/${weightVersion}`;
    const fetched = await fetch(`${this.#settings.storeUrl}${path}`).catch(() =>
      undefined
    );
    if (fetched?.status !== 200) return false;
    if (
      distribution.uniformFloat64(this.#random) < this.#settings.failedSwaps
    ) return false;
    await this.#core.swapWeights(model, weightVersion, this.#settings.swapMs);
    return true;
  }
}

await new EngineProcess(
  JSON.parse(process.argv[2] ?? "{}") as EngineProcessSettings,
).start();
