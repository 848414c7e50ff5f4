/**
 * The bench: measures the product against plainer ways in the same run. The
 * last line of each measurement is JSON.
 *
 * @example `npm run bench -- path`
 * @module
 */
import yargs from "yargs";
import * as benchControls from "./bench_control.ts";
import * as benchPaths from "./bench_path.ts";
import * as benchRollings from "./bench_rolling.ts";
import * as benchSlopes from "./bench_slopes.ts";

await yargs(process.argv.slice(2))
  .scriptName("npm run bench --")
  .command(
    "path",
    "What the path adds to a request",
    {},
    () => benchPaths.benchPath(),
  )
  .command(
    "control",
    "Changes, failover, cost of control",
    { boxes: { type: "number", default: 12 } },
    (args) => benchControls.benchControl(args.boxes),
  )
  .command(
    "rolling",
    "Restarts every box in turn under load",
    {},
    () => benchRollings.benchRolling(),
  )
  .command(
    "slopes",
    "How cost grows with the number of daemons",
    {},
    () => benchSlopes.benchSlopes(),
  )
  .demandCommand(1, "Say what to measure")
  .strict()
  .parseAsync();
