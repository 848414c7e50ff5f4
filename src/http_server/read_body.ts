import type * as http from "node:http";
import * as results from "../results/mod.ts";

/** Bounds on a request's body. */
export interface BodyLimits {
  readonly maxBodyBytes: number;
  /** Time in which the body must arrive, in ms. */
  readonly receiveTimeoutMs: number;
}

/**
 * Reads a request's whole body.
 *
 * @param request The request.
 * @param limits Its bounds.
 * @returns The body, or `bodyTooLarge`, `senderTooSlow` or `malformedBody`.
 */
export function readBody(
  request: http.IncomingMessage,
  limits: BodyLimits,
): Promise<results.Result<Buffer>> {
  const declaredBytes = Number(request.headers["content-length"] ?? 0);
  if (declaredBytes > limits.maxBodyBytes) {
    return Promise.resolve(createSizeFailure(limits));
  }
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const timer = setTimeout(() => {
      resolve(
        results.createFailure(
          "senderTooSlow",
          `Cannot read the request: it did not arrive in ${limits.receiveTimeoutMs} ms`,
        ),
      );
    }, limits.receiveTimeoutMs);
    request.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size <= limits.maxBodyBytes) chunks.push(chunk);
      else resolve(createSizeFailure(limits));
    });
    request.on("end", () => resolve(results.createOk(Buffer.concat(chunks))));
    request.on("close", () => {
      clearTimeout(timer);
      resolve(
        results.createFailure(
          "malformedBody",
          "Cannot read the request: it ended early",
        ),
      );
    });
  });
}

function createSizeFailure(limits: BodyLimits): results.Result<Buffer> {
  return results.createFailure(
    "bodyTooLarge",
    `Cannot read the request: its body is over ${limits.maxBodyBytes} bytes`,
  );
}

/**
 * Reads a request's body as a JSON object.
 *
 * @param request The request.
 * @param limits Its bounds.
 * @returns The object, or a failure as {@linkcode readBody} gives.
 */
export async function readJson(
  request: http.IncomingMessage,
  limits: BodyLimits,
): Promise<results.Result<Readonly<Record<string, unknown>>>> {
  const body = await readBody(request, limits);
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
