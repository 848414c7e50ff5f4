import type * as yargsTypes from "yargs";
import yargs from "yargs";
import * as clocks from "../clock/mod.ts";
import * as consensus from "../consensus/mod.ts";
import * as results from "../results/mod.ts";
import * as settings from "../settings/mod.ts";
import * as reports from "./_report.ts";
import * as adminCommands from "./admin_commands.ts";
import * as runServe from "./run_serve.ts";

/** Version of the program. */
export const VERSION = "0.1.0";

const DEFAULT_ADMIN_URL = "http://127.0.0.1:8081";
const DEFAULT_WAIT_MS = 10_000;
const DEFAULT_AUDIT_LIMIT = 50;

type SetExitCode = (exitCode: number | Promise<number>) => void;

function addAdminOptions<T>(parser: yargsTypes.Argv<T>) {
  return parser.options({
    admin: {
      type: "string",
      default: process.env["HOISTSCALE_ADMIN"] ?? DEFAULT_ADMIN_URL,
      describe: "Administration address of a box (HOISTSCALE_ADMIN)",
    },
    token: {
      type: "string",
      default: process.env["HOISTSCALE_TOKEN"] ?? "",
      defaultDescription: "HOISTSCALE_TOKEN",
      describe: "Operator's token (HOISTSCALE_TOKEN)",
    },
    json: { type: "boolean", default: false, describe: "Print JSON" },
  });
}

function addChangeOptions<T>(parser: yargsTypes.Argv<T>) {
  return addAdminOptions(parser).implies("request-id", "revision").options({
    revision: {
      type: "number",
      describe:
        "Revision that the change is made against; default: the current one",
    },
    "request-id": {
      type: "string",
      describe: "Id that marks a resend of the same change",
    },
    "wait-ms": {
      type: "number",
      default: DEFAULT_WAIT_MS,
      describe: "How long to wait until it is in force; 0 not to wait",
    },
  });
}

function addTemplateCommands(
  parser: yargsTypes.Argv,
  setExitCode: SetExitCode,
): yargsTypes.Argv {
  return parser
    .command(
      "list <account>",
      "List the templates of a client account",
      (args) =>
        addAdminOptions(args).positional("account", {
          type: "string",
          demandOption: true,
        }),
      (args) => setExitCode(adminCommands.listTemplates(args)),
    )
    .command(
      "show <account> <name>",
      "Show a template",
      (args) =>
        addAdminOptions(args)
          .positional("account", { type: "string", demandOption: true })
          .positional("name", { type: "string", demandOption: true }),
      (args) => setExitCode(adminCommands.showTemplate(args)),
    )
    .command(
      "set <account> <name> <values..>",
      "Set parameters, each as name=value",
      (args) =>
        addChangeOptions(args)
          .positional("account", { type: "string", demandOption: true })
          .positional("name", { type: "string", demandOption: true })
          .positional("values", {
            type: "string",
            array: true,
            demandOption: true,
          }),
      (args) => setExitCode(adminCommands.setTemplate(args)),
    )
    .demandCommand(1, "Say what to do: list, show or set");
}

function addAccountCommands(
  parser: yargsTypes.Argv,
  setExitCode: SetExitCode,
): yargsTypes.Argv {
  return parser
    .command(
      "show <account>",
      "Show a client account's policy",
      (args) =>
        addAdminOptions(args).positional("account", {
          type: "string",
          demandOption: true,
        }),
      (args) => setExitCode(adminCommands.showAccount(args)),
    )
    .command(
      "set <account> [values..]",
      "Create a client account, or set its policy, each value as name=value",
      (args) =>
        addChangeOptions(args)
          .positional("account", { type: "string", demandOption: true })
          .positional("values", {
            type: "string",
            array: true,
            default: [] as string[],
          })
          .option("account-token", {
            type: "string",
            array: true,
            default: [] as string[],
            describe: "Valid token of the account; may be given more than once",
          }),
      (args) =>
        setExitCode(
          adminCommands.setAccount({ ...args, tokens: args.accountToken }),
        ),
    )
    .demandCommand(1, "Say what to do: show or set");
}

function addBoxCommands(
  parser: yargsTypes.Argv,
  setExitCode: SetExitCode,
): yargsTypes.Argv {
  const settingsOption = {
    type: "string",
    demandOption: true,
    describe: "Settings file (YAML)",
  } as const;
  return parser
    .command(
      "serve",
      "Run the daemon of a box",
      { settings: settingsOption },
      (args) => setExitCode(runServe.runServe(args.settings)),
    )
    .command(
      "check",
      "Check a settings file",
      { settings: settingsOption },
      (args) => setExitCode(checkSettings(args.settings)),
    )
    .command(
      "make-state",
      "Make the data folder for the first start of a replica set",
      { settings: settingsOption },
      (args) => setExitCode(makeState(args.settings)),
    );
}

function addAdminCommands(
  parser: yargsTypes.Argv,
  setExitCode: SetExitCode,
): yargsTypes.Argv {
  return parser
    .command(
      "version",
      "Print the version",
      {},
      () => setExitCode(printVersion()),
    )
    .command(
      "status",
      "Show leader, replicas, boxes, leases",
      addAdminOptions,
      (args) => setExitCode(adminCommands.showStatus(args)),
    )
    .command(
      "drain",
      "Begin the planned stop of the asked box",
      addAdminOptions,
      (args) => setExitCode(adminCommands.startDrain(args)),
    )
    .command(
      "server-role <server> <role>",
      "Set what an engine is given: mixed, rollout or caller",
      (args) =>
        addChangeOptions(args)
          .positional("server", { type: "string", demandOption: true })
          .positional("role", { type: "string", demandOption: true }),
      (args) => setExitCode(adminCommands.setRole(args)),
    )
    .command(
      "log-level <level>",
      "Change the log level of the asked box",
      (args) =>
        addAdminOptions(args).positional("level", {
          type: "string",
          demandOption: true,
        }),
      (args) => setExitCode(adminCommands.setLogLevel(args)),
    )
    .command(
      "audit",
      "List accepted changes",
      (args) =>
        addAdminOptions(args).options({
          account: { type: "string" },
          template: { type: "string" },
          operator: { type: "string" },
          after: { type: "number", describe: "Only after this revision" },
          limit: { type: "number", default: DEFAULT_AUDIT_LIMIT },
        }),
      (args) => setExitCode(adminCommands.listAudit(args)),
    );
}

function checkSettings(file: string): number {
  const loaded = settings.loadSettings(file);
  if (loaded.kind === "failure") return reports.reportFailure(loaded.failure);
  process.stdout.write(`${file} is correct: box ${loaded.value.box.id}\n`);
  return 0;
}

async function makeState(file: string): Promise<number> {
  const loaded = settings.loadSettings(file);
  if (loaded.kind === "failure") return reports.reportFailure(loaded.failure);
  const { box, control } = loaded.value;
  if (control === undefined) {
    return reports.reportFailure({
      code: "badSettings",
      message: `Cannot make the data folder: ${file} has no control part`,
      outcome: "notRun",
    });
  }
  const made = await consensus.initializeDataFolder({
    folder: control.dataFolder,
    owner: box.id,
    wallMs: new clocks.SystemClock().getWallMs(),
  });
  if (made.kind === "failure") return reports.reportFailure(made.failure);
  process.stdout.write(`made ${control.dataFolder} for the first start\n`);
  return 0;
}

function printVersion(): number {
  process.stdout.write(`hoistscale ${VERSION}\n`);
  return 0;
}

/**
 * Runs the command line.
 *
 * @param args Arguments after the program's name.
 * @returns The exit code.
 */
export async function runCli(args: readonly string[]): Promise<number> {
  let exitCode: number | Promise<number> = 0;
  function setExitCode(result: number | Promise<number>): void {
    exitCode = result;
  }
  const program = yargs([...args]).scriptName("hoistscale");
  const parser = addAdminCommands(
    addBoxCommands(program, setExitCode),
    setExitCode,
  )
    .command(
      "template",
      "Rollout templates",
      (inner) => addTemplateCommands(inner, setExitCode),
    )
    .command(
      "account",
      "Client accounts",
      (inner) => addAccountCommands(inner, setExitCode),
    )
    .demandCommand(1, "Say what to do")
    .strict()
    .version(false)
    .exitProcess(false)
    .fail((message, error) => {
      throw error ??
        new results.FailureError({
          code: "badArguments",
          message: `Cannot read the command line: ${message}`,
          outcome: "notRun",
        });
    });
  try {
    await parser.parseAsync();
  } catch (error) {
    return reports.reportFailure(results.toFailure(error));
  }
  return await exitCode;
}
