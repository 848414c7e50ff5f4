/**
 * An engine whose answers end with their connection crashes inside an event. Its items
 * must not be listed as completed with the events that arrived before.
 */
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { configure, Fleet, sleep, waitReady } from "../fleet_2/fleet.mjs";
import * as records from "../fleet_2/record.mjs";
import * as sites from "../fleet_2/site.mjs";

const EVENTS = 20;
const EVENT_MS = 100;
const EVENT_BYTES = 16;
const ENGINES = 6;
const GROUPS = 6;
const ITEMS_PER_GROUP = 4;
/** Time after the 202 at which one engine crashes, in ms. */
const CRASH_AFTER_MS = 1_000;
/** Time that a crashed engine is away, in ms. */
const DOWN_MS = 4_500;
/** Time after the 202 at which the results are read, in ms. */
const READ_AFTER_MS = 11_000;

/** What was sent, answered and run is written to this file beside the script. */
const recordFile = path.join(path.dirname(fileURLToPath(import.meta.url)), "record.txt");
const fleet = new Fleet({ entries: 9, diskEntries: 3, stores: 3 });

function wholeText(item) {
  return Array.from({ length: EVENTS }, (_, at) =>
    `${item}.${at + 1}.${"x".repeat(EVENT_BYTES)}`
  ).join("\n");
}

async function run(record, servers) {
  const runs = new Map();
  const halves = [];
  const onLine = (line) => {
    if (line.what === "run") {
      const list = runs.get(line.request) ?? [];
      list.push(`${line.server} after event ${line.last ?? 0}`);
      runs.set(line.request, list);
    }
    if (line.what === "half") halves.push(line);
  };
  await fleet.startAll();
  if (!await configure(fleet, sites.createConfiguration(3))) {
    record.write("the configuration was not acknowledged");
    return records.NOT_RUN;
  }
  const engine = {
    isFramed: false,
    events: EVENTS,
    eventMs: EVENT_MS,
    eventBytes: EVENT_BYTES,
  };
  servers.push(...await sites.startServers(fleet, { engines: ENGINES, plain: 3, engine }, onLine));
  if (!await waitReady(fleet)) {
    record.write("the entry boxes are not ready");
    return records.NOT_RUN;
  }
  await sleep(2_500);

  const submission = sites.createSubmission({ groups: GROUPS, perGroup: ITEMS_PER_GROUP });
  const id = sites.newId();
  const { isAccepted, answers } = await sites.submitUntilAccepted(fleet, id, submission);
  for (const { entry, status, error } of answers) {
    record.write(`sent submission ${id} with ${submission.items.length} items to ${entry}: ${status} ${error ?? ""}`);
  }
  if (!isAccepted) return records.NOT_RUN;
  await sleep(CRASH_AFTER_MS);
  if (records.HAS_TROUBLE) {
    const victim = servers[0];
    victim.signal("SIGUSR2");
    await sleep(2 * EVENT_MS);
    victim.signal("SIGKILL");
    await victim.done;
    record.write(`killed engine ${victim.options.id}, which had sent half an event of ${halves.length} runs`);
    if (halves.length === 0) return records.NOT_RUN;
    await sleep(DOWN_MS);
    servers.push(new sites.ServerProcess({ ...victim.options, id: `i-${sites.newId().slice(0, 8)}` }, onLine));
  }
  await sleep(READ_AFTER_MS - CRASH_AFTER_MS - (records.HAS_TROUBLE ? DOWN_MS : 0));

  const read = await sites.readResults(fleet.entries[1], id, 0);
  record.write(`read results from ${fleet.entries[1].name}: ${read.status}`);
  if (read.status !== 200) return records.NOT_RUN;
  const page = JSON.parse(read.text);
  let broken = 0;
  for (const result of page.results) {
    const count = result.message === "" ? 0 : result.message.split("\n").length;
    const isWhole = result.message === wholeText(result.id);
    if (result.state === "completed" && !isWhole) broken += 1;
    record.write(
      `item ${result.id}: ${result.state}, ${count} of ${EVENTS} events${
        isWhole ? "" : ", not the whole output"
      }; runs: ${(runs.get(result.id) ?? []).join(", ")}`,
    );
  }
  record.write(`${page.results.length} of ${page.total} items listed, ${broken} completed without their whole output`);
  if (page.results.length === 0) return records.NOT_RUN;
  return broken > 0 ? records.BROKEN : records.HELD;
}

await records.runCase(recordFile, fleet, run);
