/**
 * Command line of the benches. The last line of each measurement is JSON. Where
 * a bench compares hoistscale with simpler variants, both are measured in the
 * same run.
 *
 * @example `npm run bench -- path`
 * @module
 */
import yargs from "yargs";
import * as benchAccounts from "./bench_accounts.ts";
import * as benchControl from "./bench_control.ts";
import * as benchDispatch from "./bench_dispatch.ts";
import * as benchLoad from "./bench_load.ts";
import * as benchPath from "./bench_path.ts";
import * as benchRolling from "./bench_rolling.ts";
import * as benchSlopes from "./bench_slopes.ts";
import * as benchSteps from "./bench_steps.ts";

await yargs(process.argv.slice(2))
  .scriptName("npm run bench --")
  .command(
    "path",
    "What the path adds to a request",
    {},
    () => benchPath.benchPath(),
  )
  .command(
    "control",
    "Changes, failover, cost of control",
    { boxes: { type: "number", default: 12 } },
    (args) => benchControl.benchControl(args.boxes),
  )
  .command(
    "rolling",
    "Restarts every box in turn under load",
    {},
    () => benchRolling.benchRolling(),
  )
  .command(
    "slopes",
    "How cost grows with the number of daemons",
    {},
    () => benchSlopes.benchSlopes(),
  )
  .command(
    "dispatch",
    "Time to place items and plan moves, at growing sizes",
    {},
    () => benchDispatch.benchDispatch(),
  )
  .command(
    "load",
    "What callers see of the worst loads, and what a decision costs",
    {},
    () => benchLoad.benchLoad(),
  )
  .command(
    "steps",
    "Ways to plan steps when room is short: groups in time",
    {},
    () => benchSteps.benchSteps(),
  )
  .command(
    "accounts",
    "What a key costs a request, and usage the box that sums it",
    {},
    () => benchAccounts.benchAccounts(),
  )
  .demandCommand(1, "Say what to measure")
  .strict()
  .parseAsync();
