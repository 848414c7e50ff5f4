import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";
import * as yaml from "yaml";
import * as accounts from "../../src/client_account/mod.ts";
import type * as engineRuns from "../stand_ins/run_engine.ts";
import type * as plainRuns from "../stand_ins/run_plain_server.ts";
import type * as platformRuns from "../stand_ins/run_platform.ts";
import * as topologies from "./topology.ts";
import * as children from "./child.ts";

/** Token of the deployment's root operator; it exists on loopback only. */
export const ROOT_TOKEN = "root-token-of-the-demo";

/** What a deployment is made of. */
export interface DeploymentOptions {
  readonly folder: string;
  readonly boxes: readonly topologies.DeployedBox[];
  readonly servers: readonly topologies.DeployedServer[];
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
const REPORT_DELAY_MS = 200;
/** Share of engines' reports that can't be read. */
const INVALID_REPORT_SHARE = 0.01;
const CACHED_PROMPTS = 64;
const BOX_LIST_DELAY_MS = 500;

/** A whole deployment as processes on loopback addresses. */
export class Deployment {
  readonly options: DeploymentOptions;
  #childrenByName: ReadonlyMap<string, children.Child> = new Map();
  #startedChildren: readonly children.Child[] = [];

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
    const platformSettings = this.#listPlatformSettings();
    for (const settings of platformSettings) {
      this.#startStandIn(settings.kind, "run_platform", settings);
    }
    this.options.servers.forEach((server, index) =>
      this.startServer(server, index)
    );
    for (const box of this.options.boxes) {
      if (box.hasState) this.#makeDataFolder(box.box);
      this.startBox(box.box);
    }
  }

  /** Makes a data folder, as an operator does once before the first start. */
  #makeDataFolder(id: string): void {
    childProcess.execFileSync(BINARY, [
      "make-state",
      "--settings",
      this.#getSettingsFile(id),
    ]);
  }

  /** Empties the data folder of a box that does not run. */
  removeDataFolder(id: string): void {
    fs.rmSync(this.#getDataFolder(id), { recursive: true, force: true });
  }

  startBox(id: string): void {
    this.#addChild(
      new children.Child({
        name: id,
        command: BINARY,
        args: ["serve", "--settings", this.#getSettingsFile(id)],
        logFolder: this.#getLogFolder(),
      }),
    );
  }

  startServer(server: topologies.DeployedServer, index: number): void {
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
      storeUrl: getPlatformUrl(topologies.WEIGHT_STORE_ADDRESS),
      checksFence: server.checksFence,
      reportLagMs: REPORT_DELAY_MS,
      wrongReports: INVALID_REPORT_SHARE,
    };
    this.#startStandIn(server.id, "run_engine", settings);
  }

  /** Starts another stand-in, such as a trainer or the callers. */
  startClient(name: string, program: string, settings: object): children.Child {
    this.#startStandIn(name, program, settings);
    return this.getChild(name);
  }

  getChild(name: string): children.Child {
    const child = this.#childrenByName.get(name);
    if (child === undefined) {
      throw new Error(`Cannot find the process ${name}: it was not started`);
    }
    return child;
  }

  /** Ends every process that this deployment started. */
  stop(): Promise<void> {
    return children.stopChildren(this.#startedChildren);
  }

  #addChild(child: children.Child): void {
    this.#startedChildren = [...this.#startedChildren, child];
    this.#childrenByName = new Map([
      ...this.#childrenByName,
      [child.name, child] as const,
    ]);
  }

  #startStandIn(name: string, program: string, settings: object): void {
    this.#addChild(
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

  #listPlatformSettings(): readonly platformRuns.PlatformSettings[] {
    const { servers, models, downloadsPerSecond } = this.options;
    const port = topologies.PLATFORM_PORT;
    return [
      {
        kind: "boxList",
        address: topologies.BOX_LIST_ADDRESS,
        port,
        lagMs: BOX_LIST_DELAY_MS,
        servers,
      },
      {
        kind: "weightStore",
        address: topologies.WEIGHT_STORE_ADDRESS,
        port,
        models,
        downloadsPerSecond,
        downloadMs: 20,
      },
      { kind: "scorer", address: topologies.SCORER_ADDRESS, port, scoreMs: 10 },
    ];
  }

  #writeSettings(box: topologies.DeployedBox): void {
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
          ? topologies.RELAY_PORT
          : topologies.PEER_PORT,
      })),
      ...(box.hasState
        ? { control: { dataFolder: this.#getDataFolder(box.box) } }
        : {}),
      administration: { rootTokenSha256: accounts.hashToken(ROOT_TOKEN) },
      boxList: { url: getPlatformUrl(topologies.BOX_LIST_ADDRESS) },
      weightStore: { url: getPlatformUrl(topologies.WEIGHT_STORE_ADDRESS) },
      scorer: { url: getPlatformUrl(topologies.SCORER_ADDRESS) },
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

function getPlatformUrl(address: string): string {
  return `http://${address}:${topologies.PLATFORM_PORT}`;
}
