import type * as csp from "../csp/mod.ts";
import * as dialects from "../dialect/mod.ts";
import * as httpClient from "../http_client/mod.ts";
import * as registry from "../registry/mod.ts";
import * as sendServerCalls from "./send_server_call.ts";

/** Whether a lifetime of a server answers. */
export type LifetimeAnswer =
  | { readonly kind: "alive" }
  /** It did not answer, or another lifetime answered at its address. */
  | { readonly kind: "unverified"; readonly reason: string };

/** Options of {@linkcode verifyLifetime}. */
export interface VerifyLifetimeOptions {
  readonly server: registry.RegisteredServer;
  readonly dialect: Pick<
    dialects.Dialect,
    "createReportRequest" | "parseAnswerHead" | "parseEngineReport"
  >;
  readonly cancellation?: csp.Cancellation;
}

const ALIVE: LifetimeAnswer = { kind: "alive" };

function createUnverified(reason: string): LifetimeAnswer {
  return { kind: "unverified", reason };
}

/**
 * Asks a server for its state, to learn whether the expected lifetime still answers.
 * An answer of any other status than that of a different server shows it, too.
 *
 * @param options The lifetime, and the encoding of the call.
 * @returns The answer; the promise is never rejected.
 */
export async function verifyLifetime(
  { server, dialect, cancellation }: VerifyLifetimeOptions,
): Promise<LifetimeAnswer> {
  const outcome = await sendServerCalls.sendStateRead(
    server,
    dialect,
    cancellation,
  );
  if (outcome.kind !== "answered") return createUnverified(outcome.message);
  const { status, headers } = outcome.head;
  if (status === httpClient.MISDIRECTED_STATUS) {
    return createUnverified("another server has its address");
  }
  const head = dialect.parseAnswerHead(headers);
  if (dialects.isForeignAnswer(status, head, undefined)) {
    return createUnverified("it answered another request");
  }
  const report = dialect.parseEngineReport(outcome.body, server.id);
  const born = report.kind === "ok" ? report.value.born : undefined;
  if (born === undefined) return ALIVE;
  return registry.compareLifetimes({ born }, server) === "same"
    ? ALIVE
    : createUnverified("another lifetime of the server answered");
}
