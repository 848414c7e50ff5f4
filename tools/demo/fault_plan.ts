import * as topologies from "../deployment/topology.ts";
import type * as deployments from "../deployment/deployment.ts";
import * as ledgers from "../stand_ins/ledger.ts";
import type * as demoOperators from "./demo_operator.ts";
import * as sleeps from "../stand_ins/sleep.ts";

const ROLE_TIMEOUT_MS = 3_000;
/** Index of servers that start again, which seeds what they do by chance. */
const RESTARTED_INDEX = 2;

/** What the plan works on. */
export interface FaultPlanOptions {
  readonly deployment: deployments.Deployment;
  readonly operator: demoOperators.DemoOperator;
  readonly print: (message: string) => void;
  readonly addFault: (message: string) => void;
}

/** The faults of the demo, each at its time. */
export class FaultPlan {
  readonly #options: FaultPlanOptions;
  readonly #events: ledgers.LedgerWriter;
  #downBoxes: ReadonlySet<string> = new Set();

  constructor(options: FaultPlanOptions) {
    this.#options = options;
    const file = options.deployment.getLedgerFile("events");
    this.#events = new ledgers.LedgerWriter(file);
  }

  /** Whether a box was stopped or killed and not started again. */
  isDown(box: string): boolean {
    return this.#downBoxes.has(box);
  }

  /** Runs every fault; ends when the last is over. */
  async run(startMs: number): Promise<void> {
    const engine = this.#options.deployment.options
      .servers[2] as topologies.DeployedServer;
    const leavingServer = this.#options.deployment.options
      .servers[9] as topologies.DeployedServer;
    const stoppedBox = this.#options.deployment.options
      .boxes[6] as topologies.DeployedBox;
    const plainServer = this.#options.deployment.options.servers.find((
      server,
    ) =>
      server.kind === "plain" && server.id !== leavingServer.id
    ) as topologies.DeployedServer;
    await this.#sleepUntil(startMs + 6_000);
    this.#killEngine(engine);
    await this.#sleepUntil(startMs + 7_500);
    await this.#restartServer(plainServer);
    await this.#sleepUntil(startMs + 9_000);
    await this.#setRole(
      this.#options.deployment.options.servers[7] as topologies.DeployedServer,
    );
    await this.#sleepUntil(startMs + 12_000);
    await this.#markLeaving(leavingServer);
    await this.#sleepUntil(startMs + 16_000);
    const stopEnded = this.#stopBox(stoppedBox);
    await this.#sleepUntil(startMs + 24_000);
    this.#options.print(`engine ${engine.id} is started again`);
    this.#options.deployment.startServer(engine, RESTARTED_INDEX);
    const firstLeader = await this.#killLeader();
    await this.#sleepUntil(startMs + 27_000);
    await this.#restartServer(engine);
    await this.#sleepUntil(startMs + 32_000);
    this.#startWithoutDisk(firstLeader);
    await this.#sleepUntil(startMs + 38_000);
    const secondLeader = await this.#killLeader();
    await this.#sleepUntil(startMs + 43_000);
    this.#startBox(secondLeader);
    await stopEnded;
  }

  #killEngine(engine: topologies.DeployedServer): void {
    this.#options.print(`engine ${engine.id} crashes`);
    this.#options.deployment.getChild(engine.id).kill("SIGKILL");
  }

  /** It crashes and starts again under its id, between two looks of the boxes. */
  async #restartServer(server: topologies.DeployedServer): Promise<void> {
    this.#options.print(`server ${server.id} crashes and starts again at once`);
    const child = this.#options.deployment.getChild(server.id);
    child.kill("SIGKILL");
    await child.ended;
    this.#options.deployment.startServer(server, RESTARTED_INDEX);
  }

  /** The box's disk was lost: it comes back as a new replica. */
  #startWithoutDisk(box: string): void {
    this.#options.print(`entry box ${box} lost its disk`);
    this.#options.deployment.removeDataFolder(box);
    this.#startBox(box);
  }

  #startBox(box: string): void {
    this.#options.print(`entry box ${box} is started again`);
    this.#options.deployment.startBox(box);
    this.#downBoxes = new Set(
      [...this.#downBoxes].filter((other) => other !== box),
    );
  }

  /** Sets an engine's role and asks the engine itself whether it took it. */
  async #setRole(server: topologies.DeployedServer): Promise<void> {
    this.#options.print(`engine ${server.id} is set to take rollouts only`);
    await this.#options.operator.sendChange(
      ["server-role", server.id, "rollout"],
      "role-1",
      0,
    );
    const endMs = Date.now() + ROLE_TIMEOUT_MS;
    while (Date.now() < endMs) {
      const answer = await fetch(
        `http://${server.address}:${server.port}/v1/status`,
      );
      if (
        (await answer.json() as { readonly role: string }).role === "rollout"
      ) return;
      await sleeps.sleep(100);
    }
    this.#options.addFault(`engine ${server.id} did not take its role`);
  }

  async #markLeaving(server: topologies.DeployedServer): Promise<void> {
    this.#options.print(`backend server ${server.id} is marked as leaving`);
    await fetch(
      `http://${topologies.BOX_LIST_ADDRESS}:${topologies.PLATFORM_PORT}/boxes/${server.id}`,
      {
        method: "POST",
        body: JSON.stringify({ state: "leaving" }),
      },
    );
    this.#events.add({
      kind: "event",
      event: "leave",
      target: server.id,
      atMs: Date.now(),
    });
  }

  async #stopBox(box: topologies.DeployedBox): Promise<void> {
    this.#options.print(`entry box ${box.box} is stopped in a planned way`);
    this.#events.add({
      kind: "event",
      event: "planStop",
      target: box.box,
      atMs: Date.now(),
    });
    this.#downBoxes = new Set([...this.#downBoxes, box.box]);
    const child = this.#options.deployment.getChild(box.box);
    child.kill("SIGTERM");
    const end = await child.ended;
    this.#events.add({
      kind: "event",
      event: "stopped",
      target: box.box,
      atMs: Date.now(),
    });
    this.#options.print(`entry box ${box.box} ended with code ${end.code}`);
    if (end.code !== 0) {
      this.#options.addFault(`the planned stop ended with code ${end.code}`);
    }
  }

  async #killLeader(): Promise<string> {
    const status = await this.#options.operator.runCommand(["status"]) as {
      readonly leader: string;
    };
    this.#options.print(`entry box ${status.leader}, which leads, is killed`);
    this.#events.add({
      kind: "event",
      event: "kill",
      target: status.leader,
      atMs: Date.now(),
    });
    this.#downBoxes = new Set([...this.#downBoxes, status.leader]);
    this.#options.deployment.getChild(status.leader).kill("SIGKILL");
    return status.leader;
  }

  async #sleepUntil(atMs: number): Promise<void> {
    await sleeps.sleep(Math.max(0, atMs - Date.now()));
  }
}
