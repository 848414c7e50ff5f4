/**
 * Runs fault scenarios ("days" in the options) on real processes: store and
 * entry boxes on loopback addresses, under a load of submissions. A scenario
 * passes if no process exits unexpectedly and, within a bound after the last
 * restart, a leader is elected and all accepted submissions can be read.
 *
 * @example `npm run soak -- --seeds 3 --seed 1`
 * @module
 */
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import yargs from "yargs";
import * as scenarios from "./soak_scenario.ts";

const options = await yargs(process.argv.slice(2))
  .scriptName("soak")
  .option("seed", {
    type: "number",
    default: 0,
    describe: "first seed; 0 is the day with disks lost in series",
  })
  .option("seeds", { type: "number", default: 1, describe: "days to play" })
  .option("share", {
    type: "number",
    default: 1,
    describe: "share of a core that each box may use",
  })
  .option("warm-s", {
    type: "number",
    default: 5,
    describe: "traffic before the first fault, in s",
  })
  .option("every-ms", {
    type: "number",
    default: 4_000,
    describe: "time between submissions",
  })
  .option("event-bytes", {
    type: "number",
    default: 290,
    describe: "bytes of each of an item's 20 events",
  })
  .option("catch-up-ms", {
    type: "number",
    default: 5_100,
    describe: "from the start of an emptied box until the next lost disk",
  })
  .option("spread-ms", {
    type: "number",
    default: 300,
    describe: "time in which all boxes start again",
  })
  .option("slow-start-ms", {
    type: "number",
    default: 0,
    describe: "longest time that a new process stands still first",
  })
  .option("bound-s", {
    type: "number",
    default: 30,
    describe: "time from the last restart until all must be readable",
  })
  .option("net", {
    type: "number",
    default: 10,
    describe: "third number of the first address 127.77.NET.x; takes four",
  })
  .option("folder", {
    type: "string",
    describe: "where settings, disks and logs go; kept after a bad day",
  })
  .option("keep", {
    type: "boolean",
    default: false,
    describe: "keep the folder of a good day too",
  })
  .option("plan", {
    type: "string",
    describe: "JSON file with a plan that goes before the seed",
  })
  .option("crowd", {
    type: "number",
    default: 0,
    describe: "clients that send requests without end all the while",
  })
  .option("series", {
    type: "boolean",
    default: false,
    describe: "seeds give days with disks lost in series of voters that count",
  })
  .strict()
  .help()
  .parseAsync();

// The exit handlers kill the boxes; a default signal exit would skip them.
for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) {
  process.once(signal, () => process.exit(1));
}

let failedCount = 0;
for (let seed = options.seed; seed < options.seed + options.seeds; seed += 1) {
  const base = options.folder ?? path.join(os.tmpdir(), "hoistscale-soak");
  const folder = path.join(base, `seed-${seed}-${options.net}`);
  fs.rmSync(folder, { recursive: true, force: true });
  const report = await scenarios.runScenario({
    seed,
    folder,
    firstSubnet: options.net,
    planFile: options.plan,
    isSeries: options.series,
    cpuShare: options.share,
    warmUpMs: options.warmS * 1_000,
    intervalMs: options.everyMs,
    eventBytes: options.eventBytes,
    catchUpMs: options.catchUpMs,
    startSpreadMs: options.spreadMs,
    crowdClients: options.crowd,
    maxStartDelayMs: options.slowStartMs,
    recoveryTimeoutMs: options.boundS * 1_000,
  });
  console.log(JSON.stringify(report));
  if (!report.isGood) failedCount += 1;
  else if (!options.keep) fs.rmSync(folder, { recursive: true, force: true });
}
console.log(`soak: ${options.seeds} days, ${failedCount} bad`);
process.exit(failedCount === 0 ? 0 : 1);
