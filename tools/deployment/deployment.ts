import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";
import * as yaml from "yaml";
import * as accounts from "../../src/client_account/mod.ts";
import type * as engineRuns from "../stand_ins/run_engine.ts";
import type * as plainRuns from "../stand_ins/run_plain_server.ts";
import type * as platformRuns from "../stand_ins/run_platform.ts";
import * as cascades from "./cascade.ts";
import * as children from "./child.ts";

/** Token of the deployment's root operator; it exists on loopback only. */
export const ROOT_TOKEN = "root-token-of-the-demo";

/** What a deployment is made of. */
export interface DeploymentOptions {
  readonly folder: string;
  readonly boxes: readonly cascades.DeployedBox[];
  readonly servers: readonly cascades.DeployedServer[];
  readonly models: Readonly<Record<string, number>>;
  readonly engine: Pick<
    engineRuns.EngineProcessSettings,
    "slots" | "stepMs" | "lengths" | "swapMs" | "failedSwaps"
  >;
  readonly plain: Pick<plainRuns.PlainServerSettings, "callMs" | "slots">;
  readonly downloadsPerSecond: number;
  /** A box that reaches the replicas through relays at `RELAY_PORT`. */
  readonly relayedBox?: string;
}

const BINARY = "dist/hoistscale";
const REPORT_LAG_MS = 200;
/** Share of engines' reports that can't be read. */
const WRONG_REPORTS = 0.01;
const CACHED_PROMPTS = 64;
const BOX_LIST_LAG_MS = 500;

/** A whole deployment as processes on loopback addresses. */
export class Deployment {
  readonly options: DeploymentOptions;
  #children: ReadonlyMap<string, children.Child> = new Map();
  #all: readonly children.Child[] = [];

  constructor(options: DeploymentOptions) {
    this.options = options;
    fs.rmSync(options.folder, { recursive: true, force: true });
    fs.mkdirSync(this.getLedgerFolder(), { recursive: true });
    for (const box of options.boxes) this.#writeSettings(box);
  }

  getLedgerFolder(): string {
    return path.join(this.options.folder, "ledgers");
  }

  getLedgerFile(name: string): string {
    return path.join(this.getLedgerFolder(), `${name}.jsonl`);
  }

  /** Starts platform, backend servers and boxes. */
  start(): void {
    const platformSettings = this.#listPlatform();
    for (const settings of platformSettings) {
      this.#startStandIn(settings.kind, "run_platform", settings);
    }
    this.options.servers.forEach((server, index) =>
      this.startServer(server, index)
    );
    for (const box of this.options.boxes) {
      if (box.hasState) this.#makeState(box.box);
      this.startBox(box.box);
    }
  }

  /** Makes a data folder, as an operator does once before the first start. */
  #makeState(id: string): void {
    childProcess.execFileSync(BINARY, [
      "make-state",
      "--settings",
      this.#getSettingsFile(id),
    ]);
  }

  /** Empties the data folder of a box that does not run. */
  removeState(id: string): void {
    fs.rmSync(this.#getDataFolder(id), { recursive: true, force: true });
  }

  startBox(id: string): void {
    this.#add(
      new children.Child({
        name: id,
        command: BINARY,
        args: ["serve", "--settings", this.#getSettingsFile(id)],
        logFolder: this.#getLogFolder(),
      }),
    );
  }

  startServer(server: cascades.DeployedServer, index: number): void {
    const shared = {
      id: server.id,
      address: server.address,
      port: server.port,
      ledgerFile: this.getLedgerFile(server.id),
    };
    if (server.kind === "plain") {
      const settings: plainRuns.PlainServerSettings = {
        ...shared,
        ...this.options.plain,
      };
      return this.#startStandIn(server.id, "run_plain_server", settings);
    }
    const settings: engineRuns.EngineProcessSettings = {
      ...shared,
      ...this.options.engine,
      index: index + 1,
      models: this.options.models,
      misbehaviour: "none",
      cachedPrompts: CACHED_PROMPTS,
      storeUrl: getUrl(cascades.WEIGHT_STORE_ADDRESS),
      checksFence: server.checksFence,
      reportLagMs: REPORT_LAG_MS,
      wrongReports: WRONG_REPORTS,
    };
    this.#startStandIn(server.id, "run_engine", settings);
  }

  /** Starts another stand-in, such as a trainer or the callers. */
  startClient(name: string, program: string, settings: object): children.Child {
    this.#startStandIn(name, program, settings);
    return this.get(name);
  }

  get(name: string): children.Child {
    const child = this.#children.get(name);
    if (child === undefined) {
      throw new Error(`Cannot find the process ${name}: it was not started`);
    }
    return child;
  }

  /** Ends every process that this deployment started. */
  stop(): Promise<void> {
    return children.stopChildren(this.#all);
  }

  #add(child: children.Child): void {
    this.#all = [...this.#all, child];
    this.#children = new Map([...this.#children, [child.name, child] as const]);
  }

  #startStandIn(name: string, program: string, settings: object): void {
    this.#add(
      new children.Child({
        name,
        command: process.execPath,
        args: [
          "--import=tsx",
          `tools/stand_ins/${program}.ts`,
          JSON.stringify(settings),
        ],
        logFolder: this.#getLogFolder(),
      }),
    );
  }

  #getDataFolder(id: string): string {
    return path.join(this.options.folder, "data", id);
  }

  #getLogFolder(): string {
    return path.join(this.options.folder, "logs");
  }

  #getSettingsFile(id: string): string {
    return path.join(this.options.folder, `${id}.yaml`);
  }

  #listPlatform(): readonly platformRuns.PlatformSettings[] {
    const { servers, models, downloadsPerSecond } = this.options;
    const port = cascades.PLATFORM_PORT;
    return [
      {
        kind: "boxList",
        address: cascades.BOX_LIST_ADDRESS,
        port,
        lagMs: BOX_LIST_LAG_MS,
        servers,
      },
      {
        kind: "weightStore",
        address: cascades.WEIGHT_STORE_ADDRESS,
        port,
        models,
        downloadsPerSecond,
        downloadMs: 20,
      },
      { kind: "scorer", address: cascades.SCORER_ADDRESS, port, scoreMs: 10 },
    ];
  }

  #writeSettings(box: cascades.DeployedBox): void {
    const { boxes, folder } = this.options;
    const settings = {
      box: {
        id: box.box,
        address: box.address,
        failureDomain: box.failureDomain,
      },
      replicas: boxes.filter((other) => other.hasState).map((other) => ({
        id: other.box,
        address: other.address,
        port: box.box === this.options.relayedBox
          ? cascades.RELAY_PORT
          : cascades.PEER_PORT,
      })),
      ...(box.hasState
        ? { control: { dataFolder: this.#getDataFolder(box.box) } }
        : {}),
      administration: { rootTokenSha256: accounts.hashToken(ROOT_TOKEN) },
      boxList: { url: getUrl(cascades.BOX_LIST_ADDRESS) },
      weightStore: { url: getUrl(cascades.WEIGHT_STORE_ADDRESS) },
      scorer: { url: getUrl(cascades.SCORER_ADDRESS) },
      services: [
        { name: "sommelier-lm", kind: "language" },
        {
          name: "cellar-app",
          kind: "plain",
          operations: [
            { method: "GET", path: "/stock", repeatable: true },
            { method: "POST", path: "/ledger-sync", repeatable: false },
          ],
        },
      ],
    };
    fs.mkdirSync(folder, { recursive: true });
    fs.writeFileSync(this.#getSettingsFile(box.box), yaml.stringify(settings));
  }
}

function getUrl(address: string): string {
  return `http://${address}:${cascades.PLATFORM_PORT}`;
}
