import * as zlib from "node:zlib";
import * as jsonServers from "./json_server.ts";
import * as ledgers from "./ledger.ts";

/** Settings of a plain server process, passed as JSON in its first argument. */
export interface PlainServerSettings {
  readonly id: string;
  readonly address: string;
  readonly port: number;
  readonly ledgerFile: string;
  /** Duration of a call, in ms. */
  readonly callMs: number;
  readonly slots: number;
}

const PAYLOAD = "vintage ".repeat(64);

/**
 * Serves stock lookups, which may be repeated, and ledger syncs, which must run
 * once. Every call that runs is written to the ledger.
 */
class PlainServerProcess {
  readonly #settings: PlainServerSettings;
  readonly #ledger: ledgers.LedgerWriter;
  readonly #startedAtMs = Date.now();
  #active = 0;

  constructor(settings: PlainServerSettings) {
    this.#settings = settings;
    this.#ledger = new ledgers.LedgerWriter(settings.ledgerFile);
  }

  async start(): Promise<void> {
    const { address, port } = this.#settings;
    await jsonServers.startServer(
      address,
      port,
      (request) => this.#handleRequest(request),
    );
  }

  async #handleRequest(request: jsonServers.StandInRequest): Promise<void> {
    if (request.path === "/v1/status") {
      return jsonServers.answerJson(request.response, 200, {
        born: this.#startedAtMs,
        active: this.#active,
        queued: 0,
        slots: this.#settings.slots,
      });
    }
    const operation = request.path.startsWith("/ledger-sync")
      ? "sync"
      : "lookup";
    const callId = operation === "sync"
      ? String(request.json["callId"])
      : String(request.query.get("callId"));
    this.#ledger.add({
      kind: "run",
      server: this.#settings.id,
      operation,
      callId,
      atMs: Date.now(),
    });
    this.#active += 1;
    await new Promise((resolve) => setTimeout(resolve, this.#settings.callMs));
    this.#active -= 1;
    const text = `${callId} ${PAYLOAD}`;
    jsonServers.answerJson(request.response, 200, {
      callId,
      text,
      checksum: zlib.crc32(text),
    });
  }
}

await new PlainServerProcess(
  JSON.parse(process.argv[2] ?? "{}") as PlainServerSettings,
).start();
