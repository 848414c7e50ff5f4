/**
 * The command line.
 *
 * @example
 * ```ts
 * import * as cli from "./cli/mod.ts";
 * process.exitCode = await cli.runCli(["version"]);
 * ```
 * @module
 */
export * from "./run_cli.ts";
