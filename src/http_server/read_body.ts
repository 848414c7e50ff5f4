import * as heldBytes from "../held_bytes/mod.ts";
import * as results from "../results/mod.ts";
import type * as connectionGuards from "./connection_guard.ts";

/** Delay after which callers return when too many bytes are held, in ms. */
const MEMORY_RETRY_MS = 500;

/** Limits of a request body. */
export interface BodyLimits {
  readonly maxBodyBytes: number;
  /** Timeout to receive the whole body, in ms. */
  readonly receiveTimeoutMs: number;
}

/**
 * Reads the whole body of a request. Its bytes count as held by this process until the
 * response is closed. After a failure nothing is held, and what still comes is
 * discarded.
 *
 * @param exchange The request and its response.
 * @param limits Limits of the body.
 * @param held Bounds the bytes of all requests.
 * @returns The body, or `bodyTooLarge`, `senderTooSlow`, `malformedBody` or
 * `memoryShort`.
 */
export function readBody(
  exchange: connectionGuards.Exchange,
  limits: BodyLimits,
  held: heldBytes.HeldBytes = heldBytes.SHARED_HELD_BYTES,
): Promise<results.Result<Buffer>> {
  const { request } = exchange;
  const declaredBytes = Number(request.headers["content-length"] ?? 0);
  if (declaredBytes > limits.maxBodyBytes) {
    return Promise.resolve(createSizeFailure(limits));
  }
  return new Promise((resolve) => {
    new BodyReader({ exchange, limits, held, resolve });
  });
}

interface BodyReaderOptions {
  readonly exchange: connectionGuards.Exchange;
  readonly limits: BodyLimits;
  readonly held: heldBytes.HeldBytes;
  readonly resolve: (result: results.Result<Buffer>) => void;
}

/** Collects one body until it is whole, fails or is given up. */
class BodyReader implements heldBytes.ByteHolder {
  readonly #options: BodyReaderOptions;
  readonly #collector = new heldBytes.ByteCollector();
  readonly #timer: NodeJS.Timeout;
  readonly #onData = (piece: Buffer) => this.#append(piece);
  readonly #onEnd = () => this.#finish();
  readonly #onClose = () => this.#fail(createEarlyEndFailure());

  constructor(options: BodyReaderOptions) {
    this.#options = options;
    const { exchange: { request }, limits } = options;
    this.#timer = setTimeout(
      () => this.#fail(createSlownessFailure(limits)),
      limits.receiveTimeoutMs,
    );
    request.on("data", this.#onData);
    request.on("end", this.#onEnd);
    request.on("close", this.#onClose);
  }

  /** Gives the request up, as the process holds too many bytes. */
  abort(): void {
    this.#fail(createMemoryFailure());
  }

  #append(piece: Buffer): void {
    const { limits, held } = this.#options;
    if (this.#collector.getSize() + piece.length > limits.maxBodyBytes) {
      return this.#fail(createSizeFailure(limits));
    }
    const added = this.#collector.append(piece);
    if (this.#collector.getAllocatedBytes() > piece.length) {
      held.recordCopied(piece.length);
    }
    if (added > 0) held.add(this, added);
  }

  #finish(): void {
    const { exchange: { response }, held, resolve } = this.#options;
    this.#stop();
    const hasBody = this.#collector.getSize() > 0;
    const body = this.#collector.takeBuffer();
    resolve(results.createOk(body));
    if (!hasBody) return;
    if (response.closed) return held.releaseToCollector(this);
    held.keep(this);
    response.once("close", () => held.releaseToCollector(this));
  }

  #fail(failure: results.Result<never>): void {
    const { exchange: { request }, held, resolve } = this.#options;
    this.#stop();
    this.#collector.discard();
    held.release(this);
    request.resume();
    resolve(failure);
  }

  #stop(): void {
    const { request } = this.#options.exchange;
    clearTimeout(this.#timer);
    request.off("data", this.#onData);
    request.off("end", this.#onEnd);
    request.off("close", this.#onClose);
  }
}

function createMemoryFailure(): results.Result<never> {
  return results.createFailure(
    "memoryShort",
    "Cannot read the request: too many bytes of requests are held",
    { retryAfterMs: MEMORY_RETRY_MS },
  );
}

function createSlownessFailure(limits: BodyLimits): results.Result<never> {
  return results.createFailure(
    "senderTooSlow",
    `Cannot read the request: it did not arrive in ${limits.receiveTimeoutMs} ms`,
  );
}

function createEarlyEndFailure(): results.Result<never> {
  return results.createFailure(
    "malformedBody",
    "Cannot read the request: it ended early",
  );
}

function createSizeFailure(limits: BodyLimits): results.Result<never> {
  return results.createFailure(
    "bodyTooLarge",
    `Cannot read the request: its body is over ${limits.maxBodyBytes} bytes`,
  );
}

/**
 * Reads the body of a request as a JSON object.
 *
 * @param exchange The request and its response.
 * @param limits Limits of the body.
 * @returns The object, or a failure of {@linkcode readBody} or
 * {@linkcode parseObject}.
 */
export async function readJson(
  exchange: connectionGuards.Exchange,
  limits: BodyLimits,
): Promise<results.Result<Readonly<Record<string, unknown>>>> {
  const body = await readBody(exchange, limits);
  if (body.kind === "failure") return body;
  return parseObject(body.value);
}

/**
 * Parses a body as a JSON object.
 *
 * @param body The body.
 * @returns The object, or `malformedBody`.
 */
export function parseObject(
  body: Buffer,
): results.Result<Readonly<Record<string, unknown>>> {
  try {
    const value: unknown = JSON.parse(body.toString("utf8"));
    if (typeof value === "object" && value !== null && !Array.isArray(value)) {
      return results.createOk(value as Readonly<Record<string, unknown>>);
    }
    return results.createFailure(
      "malformedBody",
      "Cannot read the request: its body is not a JSON object",
    );
  } catch (error) {
    return results.createFailure(
      "malformedBody",
      `Cannot read the request: ${(error as Error).message}`,
    );
  }
}
