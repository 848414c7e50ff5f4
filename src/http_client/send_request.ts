import * as agents from "./_agent.ts";
import type * as httpRequests from "./http_request.ts";
import * as openExchange from "./open_exchange.ts";

/**
 * Sends a request and collects its whole answer.
 *
 * @param options The request.
 * @returns What became of it; it never throws.
 */
export function sendRequest(
  options: httpRequests.HttpRequest,
): Promise<httpRequests.HttpOutcome> {
  const limit = options.maxResponseBytes ?? agents.DEFAULT_MAX_RESPONSE_BYTES;
  return new Promise((resolve) => {
    let head: httpRequests.ResponseHead | undefined;
    let size = 0;
    const chunks: Buffer[] = [];
    const exchange = openExchange.openExchange(options, {
      onHead(received) {
        head = received;
      },
      onData(chunk) {
        chunks.push(chunk);
        size += chunk.length;
        if (size <= limit) return;
        exchange.cancel();
        const message = "the answer is too large";
        resolve({ kind: "broken", message, isClosed: false });
      },
      onEnd() {
        if (head === undefined) return;
        resolve({ kind: "answered", head, body: Buffer.concat(chunks) });
      },
      onFail({ message, isSent, isClosed }) {
        if (!isSent) return resolve({ kind: "notSent", message });
        resolve(
          head === undefined
            ? { kind: "broken", message, isClosed }
            : { kind: "broken", message, isClosed, head },
        );
      },
    });
  });
}
