import * as topologies from "../deployment/topology.ts";
import * as adminRequests from "../deployment/send_admin_request.ts";
import type * as deployments from "../deployment/deployment.ts";
import * as controlDeployments from "./control_deployment.ts";
import * as linkRelays from "../deployment/link_relay.ts";
import * as quantiles from "../demo/quantiles.ts";
import * as processUsages from "./process_usage.ts";
import * as sleeps from "../stand_ins/sleep.ts";

const FOLDER = "out/bench/slopes";
const SIZES = [6, 12, 24, 48];
const REPLICAS = 5;
const START_TIMEOUT_MS = 60_000;
/** Time for the JIT compiler of the daemons to warm up, in ms. */
const WARM_UP_MS = 40_000;
const IDLE_SECONDS = 10;
const CHANGES = 40;
const CALL_TIMEOUT_MS = 10_000;
const BYTES_PER_KB = 1_024;

/**
 * Cost of a deployment of one size. Processor time is a fraction of one core;
 * traffic is that of an entry box with the replicas.
 */
interface SizeFigures {
  readonly boxes: number;
  readonly leaderCpu: number;
  readonly followerCpu: number;
  readonly entryCpu: number;
  readonly leaderCpuChanging: number;
  readonly entryCpuChanging: number;
  readonly leaderMb: number;
  readonly entryMb: number;
  readonly entryKbPerS: number;
  readonly entryKbPerChange: number;
  readonly inForceP50Ms: number;
  readonly inForceMaxMs: number;
}

/** Measures a deployment of a given size. */
class SizeRun {
  readonly #boxes: readonly topologies.DeployedBox[];
  readonly #deployment: deployments.Deployment;
  readonly #relays: readonly linkRelays.LinkRelay[];
  #revision = 0;

  constructor(size: number) {
    this.#boxes = topologies.listBoxes(size, REPLICAS);
    const relayed = this.#boxes.at(-1)?.box;
    this.#deployment = controlDeployments.createControlDeployment({
      folder: FOLDER,
      boxes: this.#boxes,
      ...(relayed === undefined ? {} : { relayedBox: relayed }),
    });
    this.#relays = this.#boxes.filter((box) => box.hasState).map((box) =>
      new linkRelays.LinkRelay({
        listenAddress: box.address,
        listenPort: topologies.RELAY_PORT,
        targetAddress: box.address,
        targetPort: topologies.PEER_PORT,
      })
    );
  }

  async run(): Promise<SizeFigures> {
    try {
      await Promise.all(this.#relays.map((relay) => relay.start()));
      this.#deployment.start();
      await this.#setUp();
      return await this.#measure();
    } finally {
      for (const relay of this.#relays) relay.stop();
      await this.#deployment.stop();
    }
  }

  async #setUp(): Promise<void> {
    const endMs = Date.now() + START_TIMEOUT_MS;
    for (;;) {
      const status = await this.#sendRequest("GET", "/v1/status") as {
        readonly boxes?: readonly unknown[];
      } | undefined;
      if (status?.boxes?.length === this.#boxes.length) break;
      if (Date.now() > endMs) {
        throw new Error("Cannot start the bench: not every box has a lease");
      }
      await sleeps.sleep(300);
    }
    await this.#sendRequest("PUT", "/v1/accounts/cascade", {
      requestId: "account",
      baseRevision: 0,
      tokens: ["token-of-the-bench"],
    });
    await this.#changeTemplate(0);
    await sleeps.sleep(WARM_UP_MS);
  }

  async #measure(): Promise<SizeFigures> {
    const { leader } = await this.#sendRequest("GET", "/v1/status") as {
      readonly leader: string;
    };
    const idleBytes = this.#getRelayedBytes();
    const idle = await this.#measureCpu(() =>
      sleeps.sleep(IDLE_SECONDS * 1_000)
    );
    const idleBytesPerS = (this.#getRelayedBytes() - idleBytes) / IDLE_SECONDS;
    const tookMs: number[] = [];
    const startMs = Date.now();
    const changeBytes = this.#getRelayedBytes();
    const changing = await this.#measureCpu(async () => {
      for (let count = 1; count <= CHANGES; count += 1) {
        tookMs.push(await this.#changeTemplate(count));
      }
    });
    const idleBytesDuringChanges = idleBytesPerS * (Date.now() - startMs) /
      1_000;
    const bytesPerChange =
      (this.#getRelayedBytes() - changeBytes - idleBytesDuringChanges) /
      CHANGES;
    const inForce = quantiles.computeQuantiles(tookMs);
    return {
      boxes: this.#boxes.length,
      leaderCpu: trimFigure(idle.get(leader) ?? 0),
      followerCpu: trimFigure(
        this.#getMeanFraction(
          idle,
          (box) => box.hasState && box.box !== leader,
        ),
      ),
      entryCpu: trimFigure(this.#getMeanFraction(idle, (box) => !box.hasState)),
      leaderCpuChanging: trimFigure(changing.get(leader) ?? 0),
      entryCpuChanging: trimFigure(
        this.#getMeanFraction(changing, (box) => !box.hasState),
      ),
      leaderMb: this.#readUsage(leader).residentMb,
      entryMb: this.#readUsage(this.#boxes.at(-1)?.box ?? "").residentMb,
      entryKbPerS: trimFigure(idleBytesPerS / BYTES_PER_KB),
      entryKbPerChange: trimFigure(bytesPerChange / BYTES_PER_KB),
      inForceP50Ms: inForce.p50,
      inForceMaxMs: inForce.max,
    };
  }

  async #changeTemplate(count: number): Promise<number> {
    const startMs = Date.now();
    const answer = await this.#sendRequest(
      "PUT",
      controlDeployments.TEMPLATE_PATH,
      {
        requestId: `change-${count}`,
        baseRevision: this.#revision,
        parameters: {
          trainer: "t",
          model: controlDeployments.MODEL,
          maxConcurrent: count + 1,
        },
      },
    );
    if (answer === undefined) {
      throw new Error("Cannot change the template: the box refused");
    }
    this.#revision = (answer as { readonly revision: number }).revision;
    return Date.now() - startMs;
  }

  async #measureCpu(
    action: () => Promise<void>,
  ): Promise<ReadonlyMap<string, number>> {
    const before = new Map(
      this.#boxes.map((box) => [box.box, this.#readUsage(box.box).cpuSeconds]),
    );
    const startMs = Date.now();
    await action();
    const seconds = (Date.now() - startMs) / 1_000;
    return new Map(this.#boxes.map((box) => [
      box.box,
      (this.#readUsage(box.box).cpuSeconds - (before.get(box.box) ?? 0)) /
      seconds,
    ]));
  }

  #readUsage(box: string): processUsages.ProcessUsage {
    return processUsages.readUsage(this.#deployment.getChild(box).getPid());
  }

  #getMeanFraction(
    fractions: ReadonlyMap<string, number>,
    isIncluded: (box: topologies.DeployedBox) => boolean,
  ): number {
    const values = this.#boxes.filter(isIncluded).map((box) =>
      fractions.get(box.box) ?? 0
    );
    return values.reduce((sum, value) => sum + value, 0) /
      Math.max(1, values.length);
  }

  #getRelayedBytes(): number {
    return this.#relays.reduce((sum, relay) => sum + relay.getBytes(), 0);
  }

  async #sendRequest(
    method: string,
    path: string,
    json?: unknown,
  ): Promise<unknown> {
    const box = this.#boxes.at(-2) as topologies.DeployedBox;
    return await adminRequests.sendAdminRequest(box.address, {
      method,
      path,
      timeoutMs: CALL_TIMEOUT_MS,
      ...(json === undefined ? {} : { json }),
    });
  }
}

/** Computes the slope of the least-squares line over the number of boxes. */
function computeSlope(
  figures: readonly SizeFigures[],
  getFigure: (figure: SizeFigures) => number,
): number {
  const meanX = figures.reduce((sum, figure) => sum + figure.boxes, 0) /
    figures.length;
  const meanY = figures.reduce((sum, figure) => sum + getFigure(figure), 0) /
    figures.length;
  const products = figures.reduce(
    (sum, figure) => sum + (figure.boxes - meanX) * (getFigure(figure) - meanY),
    0,
  );
  const squares = figures.reduce(
    (sum, figure) => sum + (figure.boxes - meanX) ** 2,
    0,
  );
  return products / squares;
}

function trimFigure(value: number): number {
  return Math.round(value * 100_000) / 100_000;
}

/** Measures how the cost of control grows with the number of boxes. */
export async function benchSlopes(): Promise<void> {
  const figures: SizeFigures[] = [];
  for (const size of SIZES) {
    const figure = await new SizeRun(size).run();
    figures.push(figure);
    console.log(
      Object.entries(figure).map(([name, value]) => `${name} ${value}`).join(
        ", ",
      ),
    );
  }
  console.log(JSON.stringify({
    sizes: figures,
    slopesPerBox: {
      leaderCpu: trimFigure(
        computeSlope(figures, (figure) => figure.leaderCpu),
      ),
      entryCpu: trimFigure(computeSlope(figures, (figure) => figure.entryCpu)),
      leaderMb: trimFigure(computeSlope(figures, (figure) => figure.leaderMb)),
      entryMb: trimFigure(computeSlope(figures, (figure) => figure.entryMb)),
      entryKbPerS: trimFigure(
        computeSlope(figures, (figure) => figure.entryKbPerS),
      ),
      entryKbPerChange: trimFigure(
        computeSlope(figures, (figure) => figure.entryKbPerChange),
      ),
      inForceP50Ms: trimFigure(
        computeSlope(figures, (figure) => figure.inForceP50Ms),
      ),
    },
  }));
}
