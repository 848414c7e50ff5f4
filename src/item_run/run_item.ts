import type * as eventSource from "eventsource-parser";
import type * as accounts from "../client_account/mod.ts";
import type * as clocks from "../clock/mod.ts";
import type * as csp from "../csp/mod.ts";
import * as dialects from "../dialect/mod.ts";
import * as eventStreams from "../event_stream/mod.ts";
import * as httpClient from "../http_client/mod.ts";
import type * as registry from "../registry/mod.ts";
import * as serverCalls from "../server_call/mod.ts";
import type * as submissions from "../submission/mod.ts";
import type * as scoreItem from "./score_item.ts";
import type * as textProgresses from "./text_progress.ts";

/** Timeout of one run, in ms. */
const RUN_TIMEOUT_MS = 60_000;
/** Timeout for connecting to the engine, in ms. */
const CONNECT_TIMEOUT_MS = 250;
const FAILED_STATUS = 500;
const IMPOSSIBLE_STATUS = 422;
const OK_STATUS = 200;
/** Most bytes of a run apart from those of its tokens. */
const RUN_OVERHEAD_BYTES = 64 * 1024;
/** Most bytes of a run for each token of its item. */
const MAX_BYTES_PER_TOKEN = 1024;
/** Most bytes of a run of an item whose number of tokens is not known. */
const MAX_RUN_BYTES = 16 * 1024 * 1024;

/** Options of {@link runItem}. */
export interface RunItemOptions {
  readonly clock: clocks.Clock;
  readonly dialect: dialects.Dialect;
  readonly item: submissions.SubmissionItem;
  /** Sender of the item's submission. */
  readonly sender: accounts.Sender;
  readonly host: string;
  readonly engine: registry.RegisteredServer;
  /** Oldest weight version whose text is accepted. */
  readonly minimumVersion: number;
  /** Whether a single weight version must generate the whole text. */
  readonly isSingleVersion: boolean;
  /** Text of earlier runs; events of this run are appended to it. */
  readonly progress: textProgresses.TextProgress;
  /** Time without an event after which the run is aborted, in ms. */
  readonly stallTimeoutMs: number;
  readonly cancellation: csp.Cancellation;
  /** Called after each event that was appended. */
  readonly onEvent: (event: RunEvent) => void;
  /** Called with each valid weight version that the engine reports. */
  readonly onVersion: (version: number) => void;
}

/** What the submission of an item decides about its runs. */
export type RunTerms = Pick<
  RunItemOptions,
  "sender" | "host" | "minimumVersion" | "isSingleVersion"
>;

/** Returns what a submission decides about the runs of its items. */
export function createRunTerms(submission: submissions.Submission): RunTerms {
  const { sender, minimumVersion, terms } = submission;
  const { host, isSingleVersion } = terms;
  return { sender, host, minimumVersion, isSingleVersion };
}

/** An event of a run. */
export interface RunEvent extends textProgresses.TextEvent {
  /** Time since the run's event before, in ms; undefined for its first one. */
  readonly intervalMs: number | undefined;
}

/** Outcome of a run. */
export type RunOutcome =
  | {
    readonly kind: "finished";
    /**
     * Set for a response without a length: the engine answered after its end, so
     * that no crash ended it.
     */
    readonly isVerified?: true;
    /** Set if the box that ran it makes the first scoring call, too. */
    readonly scored?: Promise<scoreItem.ScoreOutcome>;
  }
  /** The engine reported that this attempt failed (status 500). */
  | { readonly kind: "failed" }
  /** The engine reported that no attempt can succeed (status 422). */
  | { readonly kind: "impossible" }
  /** The engine did not run the item. */
  | {
    readonly kind: "notRun";
    readonly reason: string;
    /** Whether a different server responded at the engine's address. */
    readonly isWrongServer: boolean;
  }
  /** The run broke off; a further run can resume after the last event. */
  | {
    readonly kind: "broken";
    readonly reason: string;
    /** Whether the engine closed or reset the connection before the end. */
    readonly isClosed: boolean;
  }
  /** The box that ran it was lost, which says nothing about the engine. */
  | { readonly kind: "lost"; readonly reason: string };

/** Reads the response stream of one run. */
class ItemRun implements httpClient.ExchangeListener {
  readonly #options: RunItemOptions;
  readonly #resolve: (outcome: RunOutcome) => void;
  readonly #reader: eventStreams.EventStreamReader;
  readonly #limit: httpClient.StreamLimit;
  #exchange: httpClient.Exchange | undefined;
  #cancelStallTimer: clocks.CancelTimer = () => {};
  #status = 0;
  #isFramed = false;
  #isNotRun = false;
  #version: number | undefined;
  /** When the last event came, in monotonic ms. */
  #lastEventAtMs: number | undefined;
  #isSettled = false;

  constructor(options: RunItemOptions, resolve: (outcome: RunOutcome) => void) {
    this.#options = options;
    this.#resolve = resolve;
    this.#limit = new httpClient.StreamLimit(
      computeMaxBytes(options.item.tokens),
    );
    this.#reader = new eventStreams.EventStreamReader({
      onEvent: (event) => this.#handleEvent(event),
      onError: (error) => this.#handleUnknownField(error),
    });
  }

  start(): void {
    const { item, sender, engine, dialect, host, progress, cancellation } =
      this.#options;
    const lastEventId = progress.getLastId();
    const marks = { requestId: item.id, sender, server: engine.id };
    this.#exchange = httpClient.openExchange({
      address: engine.address,
      port: engine.port,
      method: "POST",
      path: item.path,
      headers: dialect.createForwardHeaders(
        { ...item.headers, host },
        lastEventId === undefined ? marks : { ...marks, lastEventId },
      ),
      body: Buffer.from(item.body, "base64"),
      requestId: item.id,
      timeoutMs: RUN_TIMEOUT_MS,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      cancellation,
    }, this);
    this.#restartStallTimer();
  }

  onHead(head: httpClient.ResponseHead): void {
    const { dialect, item } = this.#options;
    const parsed = dialect.parseAnswerHead(head.headers);
    if (dialects.isForeignAnswer(head.status, parsed, item.id)) {
      return this.#abort("the answer belongs to another request");
    }
    this.#restartStallTimer();
    this.#status = head.status;
    this.#isFramed = httpClient.isFramed(head);
    this.#isNotRun = parsed.isNotRun ||
      head.status === httpClient.MISDIRECTED_STATUS;
    if (head.status !== OK_STATUS) return this.#limit.markAsError();
    this.#version = parsed.weightVersion;
    if (this.#version === undefined) {
      return this.#abort("the response has no weight version");
    }
    this.#checkVersion(this.#version);
  }

  onData(chunk: Buffer): void {
    if (this.#isSettled) return;
    this.#limit.addBytes(chunk.length);
    if (this.#status === OK_STATUS) {
      this.#reader.read(chunk);
    }
    if (!this.#limit.isExceeded()) return;
    this.#abort("the engine sent more bytes than an answer can have");
  }

  onEnd(): void {
    switch (this.#status) {
      case OK_STATUS:
        return void this.#endStream();
      case FAILED_STATUS:
        return this.#settle({ kind: "failed" });
      case IMPOSSIBLE_STATUS:
        return this.#settle({ kind: "impossible" });
    }
    const reason = `the engine responded with status ${this.#status}`;
    const isWrongServer = this.#status === httpClient.MISDIRECTED_STATUS;
    this.#settle(
      this.#isNotRun
        ? { kind: "notRun", reason, isWrongServer }
        : { kind: "broken", reason, isClosed: false },
    );
  }

  /** Settles the run by whether its stream is whole; the events before stand. */
  async #endStream(): Promise<void> {
    const isAfterEvent = this.#reader.end();
    this.#cancelStallTimer();
    const end = await serverCalls.checkStreamEnd({
      ...this.#options,
      server: this.#options.engine,
      isAfterEvent,
      isFramed: this.#isFramed,
    });
    switch (end.kind) {
      case "whole":
        return this.#settle({ kind: "finished" });
      case "verified":
        return this.#settle({ kind: "finished", isVerified: true });
      case "cut":
        return this.#settle({ ...end, kind: "broken" });
    }
  }

  onFail({ message, isSent, isClosed }: httpClient.ExchangeFailure): void {
    this.#settle(
      isSent
        ? { kind: "broken", reason: message, isClosed }
        : { kind: "notRun", reason: message, isWrongServer: false },
    );
  }

  /** Reads the dialect's version field; other parse errors abort the run. */
  #handleUnknownField(error: eventSource.ParseError): void {
    const isVersion = error.type === "unknown-field" &&
      error.field === this.#options.dialect.versionField;
    if (!isVersion) return this.#abort("the event stream is malformed");
    // `Number("")` is 0, which would be a valid version.
    this.#version = error.value === "" ? Number.NaN : Number(error.value);
    this.#checkVersion(this.#version);
  }

  /**
   * Aborts the run if the version is invalid or too old. If a single version is
   * required and a different one generated the text so far, also discards it.
   */
  #checkVersion(version: number): void {
    const { minimumVersion, isSingleVersion, progress, onVersion } =
      this.#options;
    if (!Number.isSafeInteger(version) || version < 0) {
      return this.#abort("the weight version is invalid");
    }
    onVersion(version);
    if (version < minimumVersion) {
      return this.#abort(
        `weight version ${version} is older than ${minimumVersion}`,
      );
    }
    const textVersions = progress.listVersions();
    if (
      !isSingleVersion || textVersions.length === 0 ||
      textVersions.includes(version)
    ) return;
    progress.reset();
    this.#abort("the weight version changed within a single-version text");
  }

  #handleEvent(event: eventSource.EventSourceMessage): void {
    if (this.#isSettled || this.#version === undefined) return;
    const { progress, onEvent } = this.#options;
    const id = Number(event.id);
    if (event.id === undefined || !Number.isInteger(id)) {
      return this.#abort("an event id is missing or not an integer");
    }
    const textEvent = { id, data: event.data, version: this.#version };
    if (!progress.add(textEvent)) {
      return this.#abort("an event id is out of sequence");
    }
    if (this.#hasTooManyEvents()) {
      progress.reset();
      return this.#abort("the text has more events than the item has tokens");
    }
    this.#limit.recordEvent();
    this.#restartStallTimer();
    onEvent({ ...textEvent, intervalMs: this.#measureInterval() });
  }

  /** Returns the time since the event before, in ms. */
  #measureInterval(): number | undefined {
    const nowMs = this.#options.clock.getMonotonicMs();
    const lastMs = this.#lastEventAtMs;
    this.#lastEventAtMs = nowMs;
    return lastMs === undefined ? undefined : nowMs - lastMs;
  }

  /** Whether the text can't be the item's, as each event has a token at least. */
  #hasTooManyEvents(): boolean {
    const { item, progress } = this.#options;
    return item.tokens > 0 && progress.countGeneratedEvents() > item.tokens;
  }

  #restartStallTimer(): void {
    const { clock, stallTimeoutMs: stallMs } = this.#options;
    this.#cancelStallTimer();
    if (this.#isSettled) return;
    this.#cancelStallTimer = clock.startTimer(
      stallMs,
      () => this.#abort("no event was received within the stall timeout"),
    );
  }

  #abort(reason: string): void {
    this.#exchange?.cancel();
    this.#settle({ kind: "broken", reason, isClosed: false });
  }

  #settle(outcome: RunOutcome): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#cancelStallTimer();
    this.#resolve(outcome);
  }
}

function computeMaxBytes(tokens: number): number {
  if (tokens <= 0) return MAX_RUN_BYTES;
  return RUN_OVERHEAD_BYTES + tokens * MAX_BYTES_PER_TOKEN;
}

/**
 * Runs an item on one engine, resuming after the text of earlier runs.
 *
 * @param options Item, engine and progress to append to.
 * @returns Outcome of the run; the promise never rejects.
 */
export function runItem(options: RunItemOptions): Promise<RunOutcome> {
  return new Promise((resolve) => {
    new ItemRun(options, resolve).start();
  });
}
