import type * as dialects from "../dialect/mod.ts";
import type * as httpServer from "../http_server/mod.ts";
import type * as logs from "../log/mod.ts";
import * as results from "../results/mod.ts";
import * as rawListeners from "./_raw_listener.ts";

/** Dependencies of `endExchanges` and `recordCutExchanges`. */
export interface EndExchangesOptions {
  readonly dialect: dialects.Dialect;
  readonly log: logs.Log;
}

/**
 * Answers the requests that are still in progress as a box stops serving. Whether
 * they have an effect is not known, and the answer says so.
 *
 * @param exchanges Requests without a whole answer.
 * @param options Formats and logs.
 */
export function endExchanges(
  exchanges: readonly httpServer.Exchange[],
  options: EndExchangesOptions,
): void {
  const { dialect, log } = options;
  for (const { request, response } of exchanges) {
    if (response.headersSent) continue;
    const raw = rawListeners.toRawRequest(request);
    log.write("warn", "request.unfinished", {
      request: dialect.parseRequestHead(raw.headers).requestId,
      target: raw.target,
    });
    const { failure } = results.createFailure(
      "deadlineExceeded",
      "Cannot answer in time: the box is stopping",
      { outcome: "unknown" },
    );
    rawListeners.writeAnswer(response, dialect.formatFailure(failure));
  }
}

/** Logs the requests whose answers could not be sent whole. */
export function recordCutExchanges(
  exchanges: readonly httpServer.Exchange[],
  { dialect, log }: EndExchangesOptions,
): void {
  for (const { request, response } of exchanges) {
    const raw = rawListeners.toRawRequest(request);
    log.write("warn", "request.cut", {
      request: dialect.parseRequestHead(raw.headers).requestId,
      target: raw.target,
      unsentBytes: response.writableLength,
    });
  }
}
