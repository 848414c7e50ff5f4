import * as dialects from "../dialect/mod.ts";
import * as httpClient from "../http_client/mod.ts";
import * as registry from "../registry/mod.ts";
import * as serverCalls from "../server_call/mod.ts";

const ACCEPTED_STATUS = 202;
const OK_STATUS = 200;

/** Outcome of an order to an engine. */
export type OrderOutcome =
  /** The engine accepted the order and will load the version. */
  | { readonly kind: "taken" }
  /** The engine already holds the version. */
  | { readonly kind: "held" }
  | {
    readonly kind: "refused";
    readonly status: number;
    /** Whether a different server responded at the engine's address. */
    readonly isMisdirected: boolean;
  }
  /** A newer process of the engine responded; the order did not apply to it. */
  | { readonly kind: "reborn"; readonly born: number }
  /** No response; the engine may still accept the order. */
  | { readonly kind: "unanswered"; readonly reason: string };

/**
 * Sends an engine an order to load a version, without retries.
 *
 * @param engine The engine.
 * @param order The order.
 * @param dialect Encoding of the request and the response.
 * @returns The outcome; failures of the connection are outcomes, too.
 */
export async function sendOrder(
  engine: registry.RegisteredServer,
  order: dialects.VersionOrder,
  dialect: dialects.Dialect,
): Promise<OrderOutcome> {
  const sent = await serverCalls.sendServerCall(
    engine,
    dialect.createVersionOrder(order, engine.id),
    { isFreshConnection: true },
  );
  if (sent.kind !== "answered") {
    return { kind: "unanswered", reason: sent.message };
  }
  const born = dialect.parseOrderAnswer(sent.body);
  if (born !== undefined && isLaterProcess(engine, born)) {
    return { kind: "reborn", born };
  }
  switch (sent.head.status) {
    case ACCEPTED_STATUS:
      return { kind: "taken" };
    case OK_STATUS:
      return { kind: "held" };
    default:
      return {
        kind: "refused",
        status: sent.head.status,
        isMisdirected: sent.head.status === httpClient.MISDIRECTED_STATUS,
      };
  }
}

/** Outcome of reading an engine's report. */
export type EngineReading =
  | registry.ParsedReport<dialects.EngineReport>
  /** A newer process of the engine responded. */
  | { readonly kind: "reborn"; readonly server: registry.ServerReport }
  /** No valid response, or one from an older process of the engine. */
  | { readonly kind: "unread"; readonly message: string };

/**
 * Reads an engine's report of its state.
 *
 * @param engine The expected process of the engine.
 * @param dialect Encoding of the request and the response.
 * @returns The report. One without a start time is attributed to the expected
 * process.
 */
export async function readReport(
  engine: registry.ServerReport,
  dialect: dialects.Dialect,
): Promise<EngineReading> {
  const sent = await serverCalls.sendStateRead(engine, dialect);
  if (sent.kind !== "answered" || sent.head.status !== OK_STATUS) {
    return { kind: "unread", message: `Cannot read the state of ${engine.id}` };
  }
  const head = dialect.parseAnswerHead(sent.head.headers);
  if (dialects.isForeignAnswer(sent.head.status, head, undefined)) {
    return {
      kind: "unread",
      message: `${engine.id} answered another request`,
    };
  }
  const reading = dialect.parseEngineReport(sent.body, engine.id);
  if (reading.kind === "refused") return reading;
  const { born, models } = reading.value;
  if (born === undefined) return reading;
  switch (registry.compareLifetimes({ born }, engine)) {
    case "same":
      return reading;
    case "later":
      return {
        kind: "reborn",
        server: registry.createRestartReport(engine, born, models),
      };
    case "former":
      return {
        kind: "unread",
        message: `${engine.id} reported an older start time`,
      };
  }
}

function isLaterProcess(engine: registry.Lifetime, born: number): boolean {
  return registry.compareLifetimes({ born }, engine) === "later";
}
