import type * as http from "node:http";
import * as answerLengths from "./answer_length.ts";
import * as cacheLogs from "./cache_log.ts";
import type * as ledgers from "./ledger.ts";

/**
 * Fault that an engine injects into its answers, so that tests can prove that
 * the checks of the ledgers detect it.
 */
export type Misbehaviour = "none" | "falseVersion" | "dropToken" | "swapPrompt";

/** Settings of a simulated inference engine. */
export interface EngineSettings {
  readonly id: string;
  /** Unique among the engines; keeps the token ids of engines apart. */
  readonly index: number;
  readonly slots: number;
  /** Duration of a decoding step on an idle engine, in ms. */
  readonly stepMs: number;
  readonly lengths: answerLengths.LengthDistribution;
  /** Weight version that is loaded at the start, by model. */
  readonly models: Readonly<Record<string, number>>;
  readonly misbehaviour: Misbehaviour;
  /** Capacity of the prefix cache, in prefixes. */
  readonly cachedPrompts: number;
}

/** A completion request that is queued or running in an engine. */
export interface Generation {
  readonly prompt: string;
  readonly model: string;
  readonly priority: number;
  /** Length of the whole answer, in tokens. */
  readonly length: number;
  readonly response: http.ServerResponse;
  /** Tokens generated so far, with those of an earlier run that it resumes. */
  position: number;
  /** Prefill steps left before the first token. */
  prefillSteps: number;
  segment: ledgers.SegmentEntry | undefined;
  /** Orders requests of the same priority. */
  arrival: number;
}

const TOKEN_IDS_PER_SEGMENT = 100_000;
const SEGMENTS_PER_ENGINE = 10_000_000;
const PREFILL_CHARACTERS_PER_STEP = 64;
const PREFIX_CHARACTERS = 32;
/** Share by which a decoding step takes longer when every slot is in use. */
const FULL_LOAD_SLOWDOWN = 0.5;

/**
 * Simulates continuous batching: each decoding step generates one token for
 * every active request. Each segment of tokens is written to the ledger before
 * the first of them is sent.
 */
export class EngineCore {
  readonly settings: EngineSettings;
  readonly #ledger: ledgers.LedgerWriter;
  readonly #versions: Map<string, number>;
  readonly #cachedPrefixes = new Map<string, true>();
  #active: Generation[] = [];
  #queued: Generation[] = [];
  #segmentCount = Math.floor(Date.now() / 1_000) % 100_000 * 50;
  readonly #cacheLog = new cacheLogs.CacheLog();
  #arrivalCount = 0;
  #isSwapping = false;
  #role = "mixed";

  constructor(settings: EngineSettings, ledger: ledgers.LedgerWriter) {
    this.settings = settings;
    this.#ledger = ledger;
    this.#versions = new Map(Object.entries(settings.models));
  }

  /** Schedules decoding steps until the process ends. */
  start(): void {
    const load = this.#active.length / this.settings.slots;
    const stepMs = this.settings.stepMs * (1 + load * FULL_LOAD_SLOWDOWN);
    setTimeout(() => {
      if (!this.#isSwapping) this.#runStep();
      this.start();
    }, stepMs).unref();
  }

  describe(): object {
    return {
      models: Object.fromEntries(this.#versions),
      active: this.#active.length,
      queued: this.#queued.length,
      slots: this.settings.slots,
      isSwapping: this.#isSwapping,
      role: this.#role,
    };
  }

  /** Lists the reported cache events with a sequence above `after`. */
  listCacheEvents(after: number): readonly cacheLogs.CacheEvent[] {
    return this.#cacheLog.list(after);
  }

  getVersion(model: string): number | undefined {
    return this.#versions.get(model);
  }

  /**
   * Queues a request for a slot: highest priority first, then in order of
   * arrival. The request is dropped when its connection closes.
   */
  add(
    request:
      & Pick<
        Generation,
        "prompt" | "model" | "priority" | "response" | "position"
      >
      & { readonly maxTokens: number },
  ): void {
    const { maxTokens, ...rest } = request;
    const length = answerLengths.getAnswerLength(
      request.prompt,
      maxTokens,
      this.settings.lengths,
    );
    this.#arrivalCount += 1;
    const generation: Generation = {
      ...rest,
      length,
      prefillSteps: this.#countPrefillSteps(request.prompt),
      segment: undefined,
      arrival: this.#arrivalCount,
    };
    this.#queued.push(generation);
    this.#queued.sort((a, b) =>
      b.priority - a.priority || a.arrival - b.arrival
    );
    request.response.once("close", () => this.#remove(generation));
  }

  /** Pauses decoding for `swapMs`, then serves the given weight version. */
  async swapWeights(
    model: string,
    weightVersion: number,
    swapMs: number,
  ): Promise<void> {
    this.#isSwapping = true;
    await new Promise((resolve) => setTimeout(resolve, swapMs));
    this.#versions.set(model, weightVersion);
    this.#isSwapping = false;
  }

  /** Sets the role that the status reports; it is not enforced here. */
  setRole(role: string): void {
    this.#role = role;
  }

  isSwapping(): boolean {
    return this.#isSwapping;
  }

  #countPrefillSteps(prompt: string): number {
    const prefix = prompt.slice(0, PREFIX_CHARACTERS);
    const isCached = this.#cachedPrefixes.delete(prefix);
    this.#cachedPrefixes.set(prefix, true);
    const oldest = this.#cachedPrefixes.keys().next().value;
    if (!isCached) this.#cacheLog.add("stored", prefix);
    if (
      this.#cachedPrefixes.size > this.settings.cachedPrompts &&
      oldest !== undefined
    ) {
      this.#cachedPrefixes.delete(oldest);
      this.#cacheLog.add("evicted", oldest);
    }
    return isCached
      ? 0
      : Math.ceil(prompt.length / PREFILL_CHARACTERS_PER_STEP);
  }

  #remove(generation: Generation): void {
    this.#active = this.#active.filter((other) => other !== generation);
    this.#queued = this.#queued.filter((other) => other !== generation);
  }

  #runStep(): void {
    while (this.#active.length < this.settings.slots) {
      const next = this.#queued.shift();
      if (next === undefined) break;
      this.#active.push(next);
    }
    for (const generation of [...this.#active]) this.#advance(generation);
  }

  #advance(generation: Generation): void {
    if (generation.prefillSteps > 0) {
      generation.prefillSteps -= 1;
      return;
    }
    if (generation.position >= generation.length) {
      return this.#finish(generation);
    }
    const segment = this.#getSegment(generation);
    const tokenId = segment.firstToken + generation.position -
      segment.firstPosition;
    generation.position += 1;
    const isDropped = this.settings.misbehaviour === "dropToken" &&
      generation.position === 2;
    if (!isDropped) {
      this.#writeToken(generation, tokenId, segment.weightVersion);
    }
  }

  #getSegment(generation: Generation): ledgers.SegmentEntry {
    const weightVersion = this.#versions.get(generation.model) ?? 0;
    const previous = generation.segment;
    if (previous !== undefined && previous.weightVersion === weightVersion) {
      return previous;
    }
    this.#segmentCount += 1;
    const segment: ledgers.SegmentEntry = {
      kind: "segment",
      engine: this.settings.id,
      prompt: this.settings.misbehaviour === "swapPrompt"
        ? "other"
        : generation.prompt,
      model: generation.model,
      firstToken:
        (this.settings.index * SEGMENTS_PER_ENGINE + this.#segmentCount) *
        TOKEN_IDS_PER_SEGMENT,
      firstPosition: generation.position,
      weightVersion,
      answerLength: generation.length,
      atMs: Date.now(),
      isFirst: previous === undefined,
    };
    this.#ledger.add(segment);
    generation.segment = segment;
    return segment;
  }

  #writeToken(
    generation: Generation,
    tokenId: number,
    weightVersion: number,
  ): void {
    const reportedVersion = this.settings.misbehaviour === "falseVersion"
      ? weightVersion + 1
      : weightVersion;
    writeEvent(generation.response, reportedVersion, {
      text: ` t${tokenId}`,
      token_ids: [tokenId],
      finish_reason: null,
    });
  }

  #finish(generation: Generation): void {
    const weightVersion = this.#versions.get(generation.model) ?? 0;
    writeEvent(generation.response, weightVersion, {
      text: "",
      token_ids: [],
      finish_reason: "stop",
    });
    generation.response.end("data: [DONE]\n\n");
    this.#remove(generation);
  }
}

function writeEvent(
  response: http.ServerResponse,
  weightVersion: number,
  choice: object,
): void {
  const event = {
    object: "text_completion",
    weight_version: weightVersion,
    choices: [{ index: 0, ...choice }],
  };
  response.write(`data: ${JSON.stringify(event)}\n\n`);
}
