import type * as http from "node:http";
import * as answerLengths from "./answer_length.ts";
import * as cacheLogs from "./cache_log.ts";
import type * as ledgers from "./ledger.ts";

/** How an engine is made to lie, for tests of the counting. */
export type Misbehaviour = "none" | "falseVersion" | "dropToken" | "swapPrompt";

/** What an engine is. */
export interface EngineSettings {
  readonly id: string;
  /** Unique among the engines; token ids are made from it. */
  readonly index: number;
  readonly slots: number;
  /** Time of one decoding step, in ms. */
  readonly stepMs: number;
  readonly lengths: answerLengths.LengthDistribution;
  readonly models: Readonly<Record<string, number>>;
  readonly misbehaviour: Misbehaviour;
  /** Prompts whose prefill is kept. */
  readonly cachedPrompts: number;
}

/** A request in an engine. */
export interface Generation {
  readonly prompt: string;
  readonly model: string;
  readonly priority: number;
  readonly length: number;
  readonly response: http.ServerResponse;
  position: number;
  prefillSteps: number;
  segment: ledgers.SegmentEntry | undefined;
  arrival: number;
}

const TOKEN_IDS_PER_SEGMENT = 100_000;
const SEGMENTS_PER_ENGINE = 10_000_000;
const PREFILL_CHARACTERS_PER_STEP = 64;
const PREFIX_CHARACTERS = 32;
const FULL_LOAD_SLOWDOWN = 0.5;

/** Continuous batching: each step gives every active request one token. */
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

  /** Starts the decoding steps; runs until the process ends. */
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

  /** Cache events that are told by now. */
  listCacheEvents(after: number): readonly cacheLogs.CacheEvent[] {
    return this.#cacheLog.list(after);
  }

  getVersion(model: string): number | undefined {
    return this.#versions.get(model);
  }

  /** Adds a request; it waits for a slot, highest priority first. */
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

  /** Stops decoding for a while, then serves another version. */
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

  /** Takes a role; callers of the engine honour it. */
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
