import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";
import * as yaml from "yaml";
import * as accounts from "../../src/client_account/mod.ts";
import * as httpClient from "../../src/http_client/mod.ts";
import * as topologies from "../deployment/topology.ts";
import * as children from "../deployment/child.ts";
import * as linkRelays from "../deployment/link_relay.ts";
import * as httpLoads from "./http_load.ts";
import * as processUsages from "./process_usage.ts";
import * as sleeps from "../stand_ins/sleep.ts";

const FOLDER = "out/bench/path";
const BOX_ADDRESS = "127.0.6.1";
const BACKEND_ADDRESS = "127.0.6.2";
const PASS_THROUGH_ADDRESS = "127.0.6.3";
const BOX_LIST_ADDRESS = "127.0.6.4";
const ROUNDS = 3;
const WARM_UP_SECONDS = 2;
const ROUND_SECONDS = 4;
const IDLE_SECONDS = 8;
const CONCURRENCY = 32;
const OPEN_PER_SECOND = 400;
const ROOT_TOKEN = "root-token-of-the-bench";
const ACCOUNT_TOKEN = "account-token-of-the-bench";
const BYTES_PER_KB = 1_024;

type TargetName = "direct" | "bare" | "hoistscale";

/** Medians of one target over all rounds. */
interface TargetFigures {
  /** Throughput of the closed loop, in requests a second. */
  readonly perSecond: number;
  /** Latency of the open loop, in ms. */
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Failed requests of both loops, summed over all rounds. */
  readonly failed: number;
}

const TARGETS: Readonly<Record<TargetName, httpLoads.LoadTarget>> = {
  direct: {
    address: BACKEND_ADDRESS,
    port: topologies.SERVER_PORT,
    path: "/stock?sku=1",
    headers: {},
  },
  bare: {
    address: PASS_THROUGH_ADDRESS,
    port: topologies.CALLER_PORT,
    path: "/stock?sku=1",
    headers: {},
  },
  hoistscale: {
    address: BOX_ADDRESS,
    port: topologies.CALLER_PORT,
    path: "/services/cellar-app/stock?sku=1",
    headers: { authorization: `Bearer ${ACCOUNT_TOKEN}` },
  },
};

function writeSettings(): string {
  const file = path.join(FOLDER, "box.yaml");
  const url = `http://${BOX_LIST_ADDRESS}:${topologies.PLATFORM_PORT}`;
  fs.rmSync(FOLDER, { recursive: true, force: true });
  fs.mkdirSync(FOLDER, { recursive: true });
  fs.writeFileSync(
    file,
    yaml.stringify({
      box: { id: "box-1", address: BOX_ADDRESS, failureDomain: "port-louis" },
      replicas: [{
        id: "box-1",
        address: BOX_ADDRESS,
        port: topologies.RELAY_PORT,
      }],
      control: { dataFolder: path.join(FOLDER, "data") },
      administration: { rootTokenSha256: accounts.hashToken(ROOT_TOKEN) },
      boxList: { url },
      weightStore: { url },
      scorer: { url },
      services: [{
        name: "cellar-app",
        kind: "plain",
        operations: [{ method: "GET", path: "/stock", repeatable: true }],
      }],
      log: { level: "warn" },
    }),
  );
  return file;
}

function startProgram(
  name: string,
  program: string,
  args: readonly string[],
): children.Child {
  return new children.Child({
    name,
    command: process.execPath,
    args: ["--import=tsx", program, ...args],
    logFolder: path.join(FOLDER, "logs"),
  });
}

function startStandIns(): readonly children.Child[] {
  const server = {
    id: "cellar-app-1",
    service: "cellar-app",
    kind: "plain",
    address: BACKEND_ADDRESS,
    port: topologies.SERVER_PORT,
    failureDomain: "port-louis",
    state: "live",
  };
  const boxList = {
    kind: "boxList",
    address: BOX_LIST_ADDRESS,
    port: topologies.PLATFORM_PORT,
    lagMs: 100,
    servers: [server],
  };
  return [
    startProgram("backend", "tools/bench/run_backend.ts", [
      BACKEND_ADDRESS,
      String(topologies.SERVER_PORT),
    ]),
    startProgram("bare", "tools/bench/run_pass_through.ts", [
      PASS_THROUGH_ADDRESS,
      String(topologies.CALLER_PORT),
      BACKEND_ADDRESS,
      String(topologies.SERVER_PORT),
    ]),
    startProgram("boxList", "tools/stand_ins/run_platform.ts", [
      JSON.stringify(boxList),
    ]),
  ];
}

async function createAccount(): Promise<void> {
  const admin = `http://${BOX_ADDRESS}:${topologies.ADMIN_PORT}`;
  const endMs = Date.now() + 20_000;
  while (Date.now() < endMs) {
    const answer = await httpClient.sendJson({
      baseUrl: admin,
      method: "PUT",
      path: "/v1/accounts/cascade",
      headers: { authorization: `Bearer ${ROOT_TOKEN}` },
      json: { baseRevision: 0, requestId: "create", tokens: [ACCOUNT_TOKEN] },
      timeoutMs: 15_000,
    });
    if (answer.kind === "ok" && answer.value.status === 200) break;
    await sleeps.sleep(200);
  }
  for (;;) {
    const probe = await httpLoads.runClosedLoop(TARGETS.hoistscale, 1, 0.1);
    if (probe.answered > 0 && probe.failed === 0) return;
    if (Date.now() > endMs) {
      throw new Error("Cannot start the bench: the box does not serve");
    }
    await sleeps.sleep(100);
  }
}

function getMedian(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}

/** Alternates between the targets, so that drift of the box affects each. */
async function measureTargets(): Promise<
  Readonly<Record<TargetName, TargetFigures>>
> {
  const names = Object.keys(TARGETS) as readonly TargetName[];
  for (const name of names) {
    await httpLoads.runClosedLoop(TARGETS[name], CONCURRENCY, WARM_UP_SECONDS);
  }
  const closed = new Map<TargetName, readonly httpLoads.LoadResult[]>();
  const open = new Map<TargetName, readonly httpLoads.LoadResult[]>();
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const name of names) {
      closed.set(name, [
        ...closed.get(name) ?? [],
        await httpLoads.runClosedLoop(
          TARGETS[name],
          CONCURRENCY,
          ROUND_SECONDS,
        ),
      ]);
      open.set(name, [
        ...open.get(name) ?? [],
        await httpLoads.runOpenLoop(
          TARGETS[name],
          OPEN_PER_SECOND,
          ROUND_SECONDS,
        ),
      ]);
    }
  }
  const entries = names.map((name) =>
    [name, mergeRounds(closed.get(name) ?? [], open.get(name) ?? [])] as const
  );
  return Object.fromEntries(entries) as Record<TargetName, TargetFigures>;
}

function mergeRounds(
  closed: readonly httpLoads.LoadResult[],
  open: readonly httpLoads.LoadResult[],
): TargetFigures {
  return {
    perSecond: getMedian(closed.map((result) => result.perSecond)),
    p50Ms: getMedian(open.map((result) => result.p50Ms)),
    p99Ms: getMedian(open.map((result) => result.p99Ms)),
    failed: [...closed, ...open].reduce(
      (sum, result) => sum + result.failed,
      0,
    ),
  };
}

function trimFigure(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

/**
 * Measures the latency, throughput and memory of hoistscale on the path of a
 * request, compared with a minimal reverse proxy and with no proxy.
 */
export async function benchPath(): Promise<void> {
  const settings = writeSettings();
  const relay = new linkRelays.LinkRelay({
    listenAddress: BOX_ADDRESS,
    listenPort: topologies.RELAY_PORT,
    targetAddress: BOX_ADDRESS,
    targetPort: topologies.PEER_PORT,
  });
  await relay.start();
  const standIns = startStandIns();
  childProcess.execFileSync("dist/hoistscale", [
    "make-state",
    "--settings",
    settings,
  ]);
  const daemon = new children.Child({
    name: "box-1",
    command: "dist/hoistscale",
    args: ["serve", "--settings", settings],
    logFolder: path.join(FOLDER, "logs"),
  });
  try {
    await createAccount();
    await sleeps.sleep(2_000);
    const before = processUsages.readUsage(daemon.getPid());
    const bytesBefore = relay.getBytes();
    await sleeps.sleep(IDLE_SECONDS * 1_000);
    const idle = processUsages.readUsage(daemon.getPid());
    const idleBytes = relay.getBytes() - bytesBefore;
    const figures = await measureTargets();
    const loaded = processUsages.readUsage(daemon.getPid());
    printReport(figures, {
      idleResidentMb: idle.residentMb,
      idlePrivateMb: idle.privateMb,
      loadedResidentMb: loaded.residentMb,
      idleCpuFraction: trimFigure(
        (idle.cpuSeconds - before.cpuSeconds) / IDLE_SECONDS,
      ),
      idleControlKbPerS: trimFigure(idleBytes / IDLE_SECONDS / BYTES_PER_KB),
    });
  } finally {
    relay.stop();
    await children.stopChildren([daemon, ...standIns]);
  }
}

function printReport(
  figures: Readonly<Record<TargetName, TargetFigures>>,
  usage: Readonly<Record<string, number>>,
): void {
  const { direct, bare, hoistscale } = figures;
  for (const [name, figure] of Object.entries(figures)) {
    console.log(
      `${
        name.padEnd(12)
      } ${figure.perSecond} requests/s; open loop at ${OPEN_PER_SECOND}/s: p50 ${figure.p50Ms} ms, p99 ${figure.p99Ms} ms; failed ${figure.failed}`,
    );
  }
  console.log(JSON.stringify({
    throughputRatioToBare: trimFigure(hoistscale.perSecond / bare.perSecond),
    throughputRatioToDirect: trimFigure(
      hoistscale.perSecond / direct.perSecond,
    ),
    addedP50MsToBare: trimFigure(hoistscale.p50Ms - bare.p50Ms),
    addedP99MsToBare: trimFigure(hoistscale.p99Ms - bare.p99Ms),
    addedP50MsToDirect: trimFigure(hoistscale.p50Ms - direct.p50Ms),
    p50RatioToBare: trimFigure(hoistscale.p50Ms / bare.p50Ms),
    p99RatioToBare: trimFigure(hoistscale.p99Ms / bare.p99Ms),
    failed: hoistscale.failed,
    ...usage,
  }));
}
