import * as eventSource from "eventsource-parser";
import type * as accounts from "../client_account/mod.ts";
import type * as clocks from "../clock/mod.ts";
import type * as csp from "../csp/mod.ts";
import type * as dialects from "../dialect/mod.ts";
import * as httpClient from "../http_client/mod.ts";
import type * as registry from "../registry/mod.ts";
import type * as submissions from "../submission/mod.ts";
import type * as textProgresses from "./text_progress.ts";

/** Longest run of an item, in ms; the longest seen takes some 7 s. */
const RUN_TIMEOUT_MS = 60_000;
/** Time for a connection to be made, in ms. */
const CONNECT_TIMEOUT_MS = 250;
const FAILED_STATUS = 500;
const IMPOSSIBLE_STATUS = 422;
const WRONG_SERVER_STATUS = 421;
const OK_STATUS = 200;

/** One run of an item at an engine. */
export interface RunItemOptions {
  readonly clock: clocks.Clock;
  readonly dialect: dialects.Dialect;
  readonly item: submissions.SubmissionItem;
  /** Whose submission it is. */
  readonly sender: accounts.Sender;
  readonly host: string;
  readonly engine: registry.RegisteredServer;
  readonly minimumVersion: number;
  /** Whether one version must make the whole text. */
  readonly isSingleVersion: boolean;
  /** What earlier runs brought; this run adds to it. */
  readonly progress: textProgresses.TextProgress;
  /** Silence after which the run is given up, in ms. */
  readonly stallTimeoutMs: number;
  readonly cancellation: csp.Cancellation;
  /** Told of each event that was added. */
  readonly onEvent: () => void;
  /** Told of each weight version that this engine itself showed. */
  readonly onVersion: (version: number) => void;
}

/** How a run ended. */
export type RunOutcome =
  | { readonly kind: "finished" }
  /** The engine answered that this attempt failed. */
  | { readonly kind: "failed" }
  /** The engine answered that no attempt can succeed. */
  | { readonly kind: "impossible" }
  /** The engine did not take it. */
  | {
    readonly kind: "notRun";
    readonly reason: string;
    /** Whether another server than the engine answered at its address. */
    readonly isWrongServer: boolean;
  }
  /** The stream broke off; a further run may go on from there. */
  | {
    readonly kind: "broken";
    readonly reason: string;
    /** Whether the engine closed or reset the connection in its midst. */
    readonly isClosed: boolean;
  };

/** Follows the stream of one run. */
class ItemRun implements httpClient.ExchangeListener {
  readonly #options: RunItemOptions;
  readonly #resolve: (outcome: RunOutcome) => void;
  readonly #parser: eventSource.EventSourceParser;
  readonly #decoder = new TextDecoder();
  #exchange: httpClient.Exchange | undefined;
  #cancelStallTimer: clocks.CancelTimer = () => {};
  #status = 0;
  #isNotRun = false;
  #version: number | undefined;
  #isSettled = false;

  constructor(options: RunItemOptions, resolve: (end: RunOutcome) => void) {
    this.#options = options;
    this.#resolve = resolve;
    this.#parser = eventSource.createParser({
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
      timeoutMs: RUN_TIMEOUT_MS,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      cancellation,
    }, this);
    this.#restartStallTimer();
  }

  onHead(head: httpClient.ResponseHead): void {
    const parsed = this.#options.dialect.parseAnswerHead(head.headers);
    this.#status = head.status;
    this.#isNotRun = parsed.isNotRun || head.status === WRONG_SERVER_STATUS;
    if (head.status !== OK_STATUS) return;
    if (parsed.requestId !== this.#options.item.id) {
      return this.#abort("the answer belongs to another request");
    }
    this.#version = parsed.weightVersion;
    if (this.#version === undefined) {
      return this.#abort("the answer names no weight version");
    }
    this.#checkVersion(this.#version);
  }

  onData(chunk: Buffer): void {
    if (this.#isSettled) return;
    this.#restartStallTimer();
    if (this.#status !== OK_STATUS) return;
    this.#parser.feed(this.#decoder.decode(chunk, { stream: true }));
  }

  onEnd(): void {
    switch (this.#status) {
      case OK_STATUS:
        return this.#settle({ kind: "finished" });
      case FAILED_STATUS:
        return this.#settle({ kind: "failed" });
      case IMPOSSIBLE_STATUS:
        return this.#settle({ kind: "impossible" });
    }
    const reason = `the engine answered ${this.#status}`;
    const isOther = this.#status === WRONG_SERVER_STATUS;
    this.#settle(
      this.#isNotRun
        ? { kind: "notRun", reason, isWrongServer: isOther }
        : { kind: "broken", reason, isClosed: false },
    );
  }

  onFail({ message, isSent, isClosed }: httpClient.ExchangeFailure): void {
    this.#settle(
      isSent
        ? { kind: "broken", reason: message, isClosed }
        : { kind: "notRun", reason: message, isWrongServer: false },
    );
  }

  /** A field that event streams do not define may tell a new version. */
  #handleUnknownField(error: eventSource.ParseError): void {
    const isVersion = error.type === "unknown-field" &&
      error.field === this.#options.dialect.versionField;
    if (!isVersion) return this.#abort("the stream can't be read");
    // A number of no characters would be 0.
    this.#version = error.value === "" ? Number.NaN : Number(error.value);
    this.#checkVersion(this.#version);
  }

  /** A text of one version begins anew where another one would go on. */
  #checkVersion(version: number): void {
    const { minimumVersion, isSingleVersion, progress, onVersion } =
      this.#options;
    if (!Number.isSafeInteger(version) || version < 0) {
      return this.#abort("a weight version can't be read");
    }
    onVersion(version);
    if (version < minimumVersion) {
      return this.#abort(`version ${version} is older than ${minimumVersion}`);
    }
    const textVersions = progress.listVersions();
    if (
      !isSingleVersion || textVersions.length === 0 ||
      textVersions.includes(version)
    ) return;
    progress.reset();
    this.#abort("another version would go on with the text");
  }

  #handleEvent(event: eventSource.EventSourceMessage): void {
    if (this.#isSettled || this.#version === undefined) return;
    const { progress, onEvent } = this.#options;
    const id = Number(event.id);
    if (event.id === undefined || !Number.isInteger(id)) {
      return this.#abort("an event has no number");
    }
    const isNext = progress.add({
      id,
      data: event.data,
      version: this.#version,
    });
    if (!isNext) return this.#abort("an event is missing");
    onEvent();
  }

  #restartStallTimer(): void {
    const { clock, stallTimeoutMs: stallMs } = this.#options;
    this.#cancelStallTimer();
    if (this.#isSettled) return;
    this.#cancelStallTimer = clock.startTimer(
      stallMs,
      () => this.#abort("no event came for long"),
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

/**
 * Runs an item at one engine, going on after what earlier runs brought.
 *
 * @param options The item, the engine and the progress to add to.
 * @returns How the run ended; it never throws.
 */
export function runItem(options: RunItemOptions): Promise<RunOutcome> {
  return new Promise((resolve) => {
    new ItemRun(options, resolve).start();
  });
}
