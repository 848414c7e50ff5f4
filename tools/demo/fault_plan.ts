import * as cascades from "../deployment/cascade.ts";
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
  readonly tell: (message: string) => void;
  readonly addFault: (message: string) => void;
}

/** The faults of the demo, each at its time. */
export class FaultPlan {
  readonly #options: FaultPlanOptions;
  readonly #events: ledgers.LedgerWriter;
  #down: ReadonlySet<string> = new Set();

  constructor(options: FaultPlanOptions) {
    this.#options = options;
    const file = options.deployment.getLedgerFile("events");
    this.#events = new ledgers.LedgerWriter(file);
  }

  /** Whether a box was stopped or killed and not started again. */
  isDown(box: string): boolean {
    return this.#down.has(box);
  }

  /** Runs every fault; ends when the last is over. */
  async run(startMs: number): Promise<void> {
    const engine = this.#options.deployment.options
      .servers[2] as cascades.DeployedServer;
    const leaving = this.#options.deployment.options
      .servers[9] as cascades.DeployedServer;
    const planned = this.#options.deployment.options
      .boxes[6] as cascades.DeployedBox;
    const plain = this.#options.deployment.options.servers.find((server) =>
      server.kind === "plain" && server.id !== leaving.id
    ) as cascades.DeployedServer;
    await this.#sleepUntil(startMs + 6_000);
    this.#killEngine(engine);
    await this.#sleepUntil(startMs + 7_500);
    await this.#restartServer(plain);
    await this.#sleepUntil(startMs + 9_000);
    await this.#setRole(
      this.#options.deployment.options.servers[7] as cascades.DeployedServer,
    );
    await this.#sleepUntil(startMs + 12_000);
    await this.#leaveServer(leaving);
    await this.#sleepUntil(startMs + 16_000);
    const stopped = this.#stopBox(planned);
    await this.#sleepUntil(startMs + 24_000);
    this.#options.tell(`engine ${engine.id} is started again`);
    this.#options.deployment.startServer(engine, RESTARTED_INDEX);
    const killed = await this.#killLeader();
    await this.#sleepUntil(startMs + 27_000);
    await this.#restartServer(engine);
    await this.#sleepUntil(startMs + 32_000);
    this.#startWithoutDisk(killed);
    await this.#sleepUntil(startMs + 38_000);
    const second = await this.#killLeader();
    await this.#sleepUntil(startMs + 43_000);
    this.#startBox(second);
    await stopped;
  }

  #killEngine(engine: cascades.DeployedServer): void {
    this.#options.tell(`engine ${engine.id} crashes`);
    this.#options.deployment.get(engine.id).kill("SIGKILL");
  }

  /** It crashes and starts again under its id, between two looks of the boxes. */
  async #restartServer(server: cascades.DeployedServer): Promise<void> {
    this.#options.tell(`server ${server.id} crashes and starts again at once`);
    const child = this.#options.deployment.get(server.id);
    child.kill("SIGKILL");
    await child.ended;
    this.#options.deployment.startServer(server, RESTARTED_INDEX);
  }

  /** The box's disk was lost: it comes back as a new replica. */
  #startWithoutDisk(box: string): void {
    this.#options.tell(`entry box ${box} lost its disk`);
    this.#options.deployment.removeState(box);
    this.#startBox(box);
  }

  #startBox(box: string): void {
    this.#options.tell(`entry box ${box} is started again`);
    this.#options.deployment.startBox(box);
    this.#down = new Set([...this.#down].filter((other) => other !== box));
  }

  /** Sets an engine's role and asks the engine itself whether it took it. */
  async #setRole(server: cascades.DeployedServer): Promise<void> {
    this.#options.tell(`engine ${server.id} is set to take rollouts only`);
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

  async #leaveServer(server: cascades.DeployedServer): Promise<void> {
    this.#options.tell(`backend server ${server.id} is marked as leaving`);
    await fetch(
      `http://${cascades.BOX_LIST_ADDRESS}:${cascades.PLATFORM_PORT}/boxes/${server.id}`,
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

  async #stopBox(box: cascades.DeployedBox): Promise<void> {
    this.#options.tell(`entry box ${box.box} is stopped in a planned way`);
    this.#events.add({
      kind: "event",
      event: "planStop",
      target: box.box,
      atMs: Date.now(),
    });
    this.#down = new Set([...this.#down, box.box]);
    const child = this.#options.deployment.get(box.box);
    child.kill("SIGTERM");
    const end = await child.ended;
    this.#events.add({
      kind: "event",
      event: "stopped",
      target: box.box,
      atMs: Date.now(),
    });
    this.#options.tell(`entry box ${box.box} ended with code ${end.code}`);
    if (end.code !== 0) {
      this.#options.addFault(`the planned stop ended with code ${end.code}`);
    }
  }

  async #killLeader(): Promise<string> {
    const status = await this.#options.operator.ask(["status"]) as {
      readonly leader: string;
    };
    this.#options.tell(`entry box ${status.leader}, which leads, is killed`);
    this.#events.add({
      kind: "event",
      event: "kill",
      target: status.leader,
      atMs: Date.now(),
    });
    this.#down = new Set([...this.#down, status.leader]);
    this.#options.deployment.get(status.leader).kill("SIGKILL");
    return status.leader;
  }

  async #sleepUntil(atMs: number): Promise<void> {
    await sleeps.sleep(Math.max(0, atMs - Date.now()));
  }
}
