/**
 * The bench: measures the product against plainer ways in the same run. The
 * last line of each measurement is JSON.
 *
 * @example `npm run bench -- path`
 * @module
 */
import yargs from "yargs";
import * as benchPaths from "./bench_path.ts";

await yargs(process.argv.slice(2))
  .scriptName("npm run bench --")
  .command(
    "path",
    "What the path adds to a request",
    {},
    () => benchPaths.benchPath(),
  )
  .demandCommand(1, "Say what to measure")
  .strict()
  .parseAsync();
