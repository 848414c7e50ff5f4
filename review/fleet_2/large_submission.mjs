/**
 * A trainer sends a batch submission below `body_bytes` and sends it again, as the pages
 * have it, while there is no 202. The platform's stand-in kills a process that exceeds
 * its memory, and starts ended processes again.
 */
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import { configure, Fleet, sleep, waitReady } from "./fleet.mjs";
import * as records from "./record.mjs";
import * as sites from "./site.mjs";

/** 250 groups of 4 items. With 18,000 bytes each the body has some 24.3 MB. */
const GROUPS = 250;
const ITEMS_PER_GROUP = 4;
const LARGE_BODY_BYTES = 18_000;
/** The size of a request on the site's sheet. */
const USUAL_BODY_BYTES = 600;
const STEPS = 2;
/** Time limit of a submission on the site's sheet, in ms. */
const TIME_LIMIT_MS = 12_000;
const STEP_MS = 4_000;
const MEMORY_CHECK_MS = 20;
const RESTART_MS = 1_000;
const BYTES_PER_MB = 1_000_000;
/** Ends in a day, and machines on which they are, that make a fault by the rule. */
const FAULT_ENDS = 3;
const FAULT_MACHINES = 2;

/** The record goes into a temporary folder, as this is no case of its own. */
const recordFile = path.join(fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-review-")), "record.txt");
console.log(`record: ${recordFile}`);
const fleet = new Fleet({ entries: 9, diskEntries: 3, stores: 3 });

/** Anonymous memory of a process in MB: without the program and mapped files. */
function readMemoryMb(pid) {
  try {
    const text = fs.readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/RssAnon:\s+(\d+)/.exec(text)[1]) * 1024 / BYTES_PER_MB;
  } catch {
    return 0;
  }
}

async function run(record, servers) {
  const ends = [];
  const peaks = new Map();
  let isOver = false;
  fleet.onUnexpected = (box, code, signal) => {
    if (isOver) return;
    const why = box.isOverLimit === true ? "killed over its memory" : `ended with ${code ?? signal}`;
    box.isOverLimit = false;
    ends.push(box.name);
    record.write(`${box.name}: ${why}`);
    setTimeout(() => {
      if (!isOver) fleet.start(box);
    }, RESTART_MS);
  };
  const watch = setInterval(() => {
    for (const box of fleet.boxes) {
      const child = fleet.children.get(box.name);
      if (child === undefined || child.hasEnded) continue;
      const limitMb = box.role === "entry" ? 200 : 220;
      const usedMb = readMemoryMb(child.pid);
      peaks.set(box.name, Math.max(peaks.get(box.name) ?? 0, usedMb));
      if (usedMb <= limitMb || box.isOverLimit === true) continue;
      box.isOverLimit = true;
      record.write(`${box.name} holds ${Math.round(usedMb)} MB of ${limitMb}`);
      child.kill("SIGKILL");
    }
  }, MEMORY_CHECK_MS);
  await fleet.startAll();
  if (!await configure(fleet, sites.createConfiguration(3))) {
    record.write("the configuration was not acknowledged");
    return records.NOT_RUN;
  }
  servers.push(...await sites.startServers(fleet, {
    engines: 6,
    plain: 3,
    engine: { events: 20, eventMs: 40 },
  }));
  if (!await waitReady(fleet)) {
    record.write("the entry boxes are not ready");
    return records.NOT_RUN;
  }
  await sleep(2_500);
  if (ends.length > 0) return records.NOT_RUN;

  const bodyBytes = records.HAS_TROUBLE ? LARGE_BODY_BYTES : USUAL_BODY_BYTES;
  for (let step = 0; step < STEPS; step += 1) {
    const submission = sites.createSubmission({
      groups: GROUPS,
      perGroup: ITEMS_PER_GROUP,
      bodyBytes,
      step,
    });
    const bytes = JSON.stringify(submission).length;
    const id = sites.newId();
    const startMs = Date.now();
    const sent = await sites.submitUntilAccepted(
      fleet,
      id,
      submission,
      TIME_LIMIT_MS,
      TIME_LIMIT_MS,
      ({ entry, status, error }) =>
        record.write(`sent submission ${id} of ${bytes} bytes to ${entry}: ${status} ${error ?? ""}`),
    );
    record.write(`submission ${id}: ${sent.isAccepted ? "accepted" : "no 202 within its time limit"}`);
    await sleep(Math.max(0, STEP_MS - (Date.now() - startMs)));
  }
  await sleep(3_000);
  isOver = true;
  clearInterval(watch);
  for (const [name, peakMb] of peaks) {
    record.write(`peak memory of ${name}: ${Math.round(peakMb)} MB`);
  }
  const machines = new Set(ends);
  record.write(`${ends.length} processes ended by themselves, on ${machines.size} of ${fleet.boxes.length} machines`);
  return ends.length >= FAULT_ENDS && machines.size >= FAULT_MACHINES
    ? records.BROKEN
    : records.HELD;
}

await records.runCase(recordFile, fleet, run);
