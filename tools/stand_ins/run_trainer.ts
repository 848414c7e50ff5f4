import * as httpClient from "../../src/http_client/mod.ts";
import * as addressBooks from "./address_book.ts";
import * as ledgers from "./ledger.ts";
import * as sleeps from "./sleep.ts";

/** Settings of a trainer process, passed as JSON in its first argument. */
export interface TrainerSettings {
  readonly name: string;
  /** Rollout template of its steps. */
  readonly template: string;
  readonly model: string;
  readonly token: string;
  /** Addresses of boxes to ask first. */
  readonly seeds: readonly addressBooks.ServiceAddress[];
  readonly ledgerFile: string;
  /** Base URL of the weight store. */
  readonly storeUrl: string;
  /** Number of steps to train. */
  readonly steps: number;
  /** Prompts of a step. */
  readonly groups: number;
  /** Samples of each prompt; must match the rollout template. */
  readonly groupSize: number;
  /** Duration of training on a step, in ms. */
  readonly trainMs: number;
  /** Staleness bound of the client account, in weight versions. */
  readonly maxVersionsBehind: number;
  /** Staleness bound of the client account, in ms. */
  readonly maxAgeMs: number;
  /** Time after which the samples of no further step are fetched, in ms. */
  readonly endMs: number;
}

interface ReceivedSample {
  readonly slot: number;
  readonly sampleId: string;
  readonly tokens: readonly number[];
  readonly spans: readonly ledgers.SpanEntry[];
}

const FETCH_WAIT_MS = 2_000;
const CALL_TIMEOUT_MS = 15_000;
const RETRY_DELAY_MS = 100;

/**
 * Simulates a trainer: opens steps, fetches their samples, trains and publishes
 * weights. The next step is opened before training on the current one.
 */
class TrainerProcess {
  readonly #settings: TrainerSettings;
  readonly #ledger: ledgers.LedgerWriter;
  readonly #addressBook: addressBooks.AddressBook;
  #weightVersion = 1;

  constructor(settings: TrainerSettings) {
    this.#settings = settings;
    this.#ledger = new ledgers.LedgerWriter(settings.ledgerFile);
    this.#addressBook = new addressBooks.AddressBook(
      settings.seeds,
      settings.name.length,
    );
  }

  async run(): Promise<void> {
    const endMs = Date.now() + this.#settings.endMs;
    await this.#openStep(1);
    for (
      let step = 1;
      step <= this.#settings.steps && Date.now() < endMs;
      step += 1
    ) {
      const startMs = Date.now();
      const received = await this.#collectSamples(step);
      const idleMs = Date.now() - startMs;
      const isLast = step === this.#settings.steps;
      if (!isLast) await this.#openStep(step + 1);
      await sleeps.sleep(this.#settings.trainMs);
      await this.#publishWeights();
      this.#ledger.add({
        kind: "step",
        trainer: this.#settings.name,
        step,
        slots: this.#countSlots(),
        received,
        idleMs,
        totalMs: Date.now() - startMs,
      });
    }
  }

  #countSlots(): number {
    return this.#settings.groups * this.#settings.groupSize;
  }

  #getPrompt(step: number, group: number): string {
    return `${this.#settings.name} tasting note ${step}.${group}`;
  }

  async #openStep(step: number): Promise<void> {
    const prompts = Array.from(
      { length: this.#settings.groups },
      (_, group) => this.#getPrompt(step, group),
    );
    await this.#callService("open", { step, prompts });
  }

  /** Fetches samples until the step is complete; returns the slots received. */
  async #collectSamples(step: number): Promise<number> {
    const receivedSlots = new Set<number>();
    while (receivedSlots.size < this.#countSlots()) {
      const fetched = await this.#callService("fetch", {
        step,
        trainerVersion: this.#weightVersion,
        waitMs: FETCH_WAIT_MS,
      }) as {
        readonly samples: readonly ReceivedSample[];
        readonly isComplete: boolean;
      };
      for (const sample of fetched.samples) {
        this.#recordSample(step, sample);
        receivedSlots.add(sample.slot);
      }
      const slots = fetched.samples.map((sample) => sample.slot);
      if (slots.length > 0) {
        await this.#callService("acknowledge", { step, slots });
      }
      if (fetched.isComplete) break;
    }
    return receivedSlots.size;
  }

  #recordSample(step: number, sample: ReceivedSample): void {
    const { name, model, groupSize, maxVersionsBehind, maxAgeMs } =
      this.#settings;
    const { slot, sampleId, tokens, spans } = sample;
    const prompt = `${this.#getPrompt(step, Math.floor(slot / groupSize))}#${
      slot % groupSize
    }`;
    this.#ledger.add({
      kind: "sample",
      trainer: name,
      model,
      step,
      slot,
      prompt,
      sampleId,
      tokens,
      spans,
      trainerVersion: this.#weightVersion,
      maxVersionsBehind,
      maxAgeMs,
      atMs: Date.now(),
    });
  }

  async #publishWeights(): Promise<void> {
    this.#weightVersion += 1;
    await httpClient.sendJson({
      baseUrl: this.#settings.storeUrl,
      method: "POST",
      path: "/v1/models",
      json: { model: this.#settings.model, weightVersion: this.#weightVersion },
      timeoutMs: CALL_TIMEOUT_MS,
    });
  }

  /** Repeats a call, which must be idempotent, until a box answers with 200. */
  async #callService(action: string, body: object): Promise<unknown> {
    const { name, template, token } = this.#settings;
    for (;;) {
      const target = await this.#addressBook.pick();
      const answer = await httpClient.sendJson({
        baseUrl: `http://${target.address}:${target.port}`,
        method: "POST",
        path: `/v1/trainers/${name}/${action}`,
        headers: { authorization: `Bearer ${token}` },
        json: { template, ...body },
        timeoutMs: CALL_TIMEOUT_MS,
      });
      if (answer.kind === "ok" && answer.value.status === 200) {
        return answer.value.json;
      }
      this.#addressBook.avoid(target.box);
      await sleeps.sleep(RETRY_DELAY_MS);
    }
  }
}

await new TrainerProcess(JSON.parse(process.argv[2] ?? "{}") as TrainerSettings)
  .run();
