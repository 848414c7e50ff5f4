import type * as dialects from "../dialect/mod.ts";
import type * as httpServer from "../http_server/mod.ts";
import type * as logs from "../log/mod.ts";
import * as formatRefusals from "./_format_refusal.ts";
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
  for (const exchange of exchanges) {
    if (exchange.response.headersSent) continue;
    log.write("warn", "request.unfinished", describeRequest(exchange, dialect));
    const answer = formatRefusals.formatRefusal(
      dialect,
      "deadlineExceeded",
      "Cannot answer in time: the box is stopping",
      { outcome: "unknown" },
    );
    rawListeners.writeAnswer(exchange.response, answer);
  }
}

/** Logs the requests whose answers could not be sent whole. */
export function recordCutExchanges(
  exchanges: readonly httpServer.Exchange[],
  { dialect, log }: EndExchangesOptions,
): void {
  for (const exchange of exchanges) {
    log.write("warn", "request.cut", {
      ...describeRequest(exchange, dialect),
      unsentBytes: exchange.response.writableLength,
    });
  }
}

/** Returns the log fields that identify a request. */
function describeRequest(
  { request }: httpServer.Exchange,
  dialect: dialects.Dialect,
): Readonly<Record<string, string | undefined>> {
  const { headers, target } = rawListeners.toRawRequest(request);
  return { request: dialect.parseRequestHead(headers).requestId, target };
}
