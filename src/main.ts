/**
 * Entry point of the `hoistscale` binary.
 *
 * @example `hoistscale serve --settings box.yaml`
 * @module
 */
import * as cli from "./cli/mod.ts";

cli.runCli(process.argv.slice(2)).then((exitCode) => {
  process.exit(exitCode);
}, (error: unknown) => {
  process.stderr.write(`Cannot run: ${String(error)}\n`);
  process.exit(1);
});
