// Engines answer some items with 422, and send a second copy of that answer late: in the
// place where the next answer on the connection is due.
import path from "node:path";
import { fileURLToPath } from "node:url";
import { awaitReady, call, putConfiguration, toBase64 } from "../stand_ins/client.mjs";
import { startEngines, streamItem } from "../stand_ins/engines.mjs";
import { PORTS, sleep } from "../stand_ins/fleet.mjs";
import { NotRunError, runCase } from "../stand_ins/run_case.mjs";
import { formatAnswer } from "../stand_ins/servers.mjs";
import * as sheet from "../stand_ins/sheet.mjs";

const FOLDER = path.dirname(fileURLToPath(import.meta.url));
const ENGINES = 3;
const SLOTS = 6;
const STREAM = { events: 8, eventMs: 20 };
const ITEMS = 96;
const GROUP_SIZE = 4;
/** Every twelfth item can never be done: engines answer it with 422. */
const IMPOSSIBLE_EVERY = 12;
const ATTEMPTS = 3;
const SUBMISSION = "7c41e09b52d6a3f8";
/** Time from a late surplus answer to the answer that was due, in ms. */
const SURPLUS_LEAD_MS = 30;
const READ_MS = 25_000;

function createItems() {
  return Array.from({ length: ITEMS }, (_, index) => ({
    id: `e5b2907c14da${String(index).padStart(4, "0")}`,
    path: `${sheet.ROLLOUT_PREFIX}0/${index}`,
    headers: { "X-Model": sheet.MODEL, "X-Token-Counts": "16,8", "X-Prompt-Prefix": `${(4096 + index).toString(16)}:16` },
    body: toBase64(index % IMPOSSIBLE_EVERY === 2 ? `impossible ${index}` : `prompt ${index}`),
    tokens: 24,
    group: `g${Math.floor(index / GROUP_SIZE)}`,
  }));
}

/** Answers of the engines by item, for the check. */
class AnswerLedger {
  #statuses = new Map();

  note(id, status) {
    this.#statuses.set(id, [...this.list(id), status]);
  }

  list(id) {
    return this.#statuses.get(id) ?? [];
  }

  /** Whether the engines' answers allow the item to be given up. */
  mayBeTerminated(id) {
    const statuses = this.list(id);
    return statuses.includes(422) || statuses.filter((status) => status === 500).length >= ATTEMPTS;
  }
}

function createHandler(record, ledger, isDisturbed) {
  function serve(request, socket, server) {
    const id = request.headers["x-request-id"];
    if (!request.body.toString().startsWith("impossible")) {
      ledger.note(id, 200);
      return streamItem(request, socket, server, STREAM);
    }
    const answer = formatAnswer(422, { "X-Request-Id": id, "X-Server-Stamp": `s.${server.id}.${id}` }, "cannot be done");
    ledger.note(id, 422);
    record.write("server answers 422", { server: server.id, id });
    socket.write(answer);
    if (isDisturbed) socket.surplus = { id, answer };
  }
  return (request, socket, server) => {
    const id = request.headers["x-request-id"];
    record.write("request at server", { server: server.id, id, path: request.path });
    const { surplus } = socket;
    socket.surplus = undefined;
    if (surplus === undefined) return serve(request, socket, server);
    record.write("surplus answer", { server: server.id, namesRequest: surplus.id, inPlaceOfAnswerTo: id });
    socket.write(surplus.answer);
    setTimeout(() => serve(request, socket, server), SURPLUS_LEAD_MS);
  };
}

async function submit(fleet, record, untilMs) {
  const body = JSON.stringify({ step: 0, model: sheet.MODEL, minimum_version: 1, desired: 22, items: createItems() });
  for (let turn = 0; Date.now() < untilMs; turn += 1) {
    const entry = fleet.entries[turn % fleet.entries.length];
    const { status } = await call({
      ip: entry.ip, port: PORTS.front, method: "POST", path: `${sheet.ROLLOUT_PREFIX}7c41e0`,
      headers: { host: sheet.HOST, "content-type": "application/json", "x-request-id": SUBMISSION, "x-deadline-ms": "12000" },
      body, timeoutMs: 4_000,
    });
    record.write("submission sent", { to: entry.name, status });
    if (status === 202) return;
    await sleep(300);
  }
  throw new NotRunError("the submission was not accepted");
}

async function readResults(fleet, record) {
  const results = [];
  const untilMs = Date.now() + READ_MS;
  for (let turn = 0; results.length < ITEMS && Date.now() < untilMs; turn += 1) {
    const entry = fleet.entries[turn % fleet.entries.length];
    const answer = await call({
      ip: entry.ip, port: PORTS.front, path: `/lots/${SUBMISSION}?after_revision=${results.length}`,
      headers: { host: sheet.HOST, "x-wait-ms": "500" }, timeoutMs: 2_500,
    });
    if (answer.status === 200) results.push(...JSON.parse(answer.body).results);
    else await sleep(200);
  }
  for (const { id, state, message } of results) record.write("result", { id, state, events: message === "" ? 0 : message.split("\n").length });
  return results;
}

await runCase({
  recordFile: path.join(FOLDER, "record.txt"),
  fleetOptions: { plainEntries: 1 },
  play: async ({ fleet, record, isDisturbed }) => {
    const ledger = new AnswerLedger();
    await startEngines(fleet, { count: ENGINES, slots: SLOTS, handle: createHandler(record, ledger, isDisturbed) });
    const readyMs = Date.now() + 20_000;
    if (!await putConfiguration(fleet, sheet.createConfiguration(1), readyMs)) throw new NotRunError("no configuration");
    if (!await awaitReady(fleet, readyMs)) throw new NotRunError("not ready");
    await sleep(2_500);
    await submit(fleet, record, Date.now() + 10_000);
    const results = await readResults(fleet, record);
    if (results.length < ITEMS) record.write("results are missing", { listed: results.length, of: ITEMS });
    return results
      .filter(({ id, state }) => state === "terminated" && !ledger.mayBeTerminated(id))
      .map(({ id }) => `MIXED: ${id} is terminated; the engines answered it ${ledger.list(id).join(",") || "nothing"}, no 422 and no 500`);
  },
});
