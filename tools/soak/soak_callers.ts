import * as http from "node:http";
import * as httpClient from "../../src/http_client/mod.ts";
import * as sleeps from "../stand_ins/sleep.ts";
import * as layouts from "./fleet_layout.ts";
import * as checkRequests from "./check_request.ts";
import * as randomSources from "../../src/fixtures/random_source.ts";
import * as clients from "./soak_client.ts";
import type * as fleets from "./soak_fleet.ts";
import type * as standInServers from "./stand_in_servers.ts";

const CALLER_COUNT = 24;
/** Callers that begin to use a box just before it is stopped. */
const LATE_CALLER_COUNT = 12;
/** Multiple of its lifetime for which callers use an address answer. */
const USE_FACTOR = 3;
const RESOLVE_TIMEOUT_MS = 1_000;
const RETRY_DELAY_MS = 100;
/** Time for which a caller waits for an answer, in ms: the route's timeout. */
const DEADLINE_MS = 5_000;
/** Time that a caller waits beyond its deadline, in ms. */
const DEADLINE_SLACK_MS = 2_000;
/** Times that servers are asked to work on a request, in ms. */
const WORK_MS = [20, 300, 700, 1_500, 2_500, 4_000];
const MAX_PAUSE_MS = 400;
const READ_WAIT_MS = 1_000;
/** Position that no submission reaches, so that its read waits. */
const READ_AFTER = 100_000;

/** An address answer; `untilMs` is the wall-clock end of its use. */
interface HeldAnswer {
  readonly addresses: readonly string[];
  readonly untilMs: number;
}

/** Dependencies of {@linkcode SoakCallers}. */
export interface SoakCallersOptions {
  readonly seed: number;
  readonly fleet: fleets.SoakFleet;
  readonly standIns: standInServers.StandInServers;
  /** Returns the id of a submission to read; undefined before the first. */
  readonly getSubmission: () => string | undefined;
}

/**
 * Callers that use an address answer as long as they may, keep their connections,
 * and send requests and reads that wait, also to boxes that are being stopped.
 */
export class SoakCallers {
  readonly #options: SoakCallersOptions;
  readonly #random: randomSources.RandomSource;
  readonly #faults: string[] = [];
  #requestCount = 0;
  #answerCount = 0;
  #answersWhileStopping = 0;
  #isStopped = false;

  constructor(options: SoakCallersOptions) {
    this.#options = options;
    this.#random = new randomSources.RandomSource(options.seed);
  }

  /** Runs all callers until stopped. */
  async run(): Promise<void> {
    const callers = Array.from(
      { length: CALLER_COUNT },
      () => this.#runCaller(),
    );
    await Promise.all(callers);
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Number of whole answers. */
  countAnswers(): number {
    return this.#answerCount;
  }

  /** Number of whole answers from boxes that were being stopped. */
  countAnswersWhileStopping(): number {
    return this.#answersWhileStopping;
  }

  /** Describes each request that ended otherwise than a box promises. */
  listFaults(): readonly string[] {
    return this.#faults;
  }

  /**
   * Has more callers get an address answer that names a box, and use that box
   * until the use of the answer or the process of the box ends.
   */
  async useBox(box: layouts.SoakBox): Promise<void> {
    const held = await this.#resolveAddresses(box.failureDomain);
    const address = `${box.address}:${layouts.PORTS.caller}`;
    if (held === undefined || !held.addresses.includes(address)) return;
    for (let count = 0; count < LATE_CALLER_COUNT; count += 1) {
      void this.#useToTheEnd(address, held.untilMs);
    }
  }

  async #useToTheEnd(address: string, untilMs: number): Promise<void> {
    let isReached = true;
    while (isReached && !this.#isStopped && Date.now() < untilMs) {
      isReached = await this.#useConnection(address, untilMs);
    }
  }

  async #runCaller(): Promise<void> {
    while (!this.#isStopped) {
      const { failureDomain } = this.#random.pick(this.#options.fleet.entries);
      const held = await this.#resolveAddresses(failureDomain);
      if (held === undefined) await sleeps.sleep(RETRY_DELAY_MS);
      else await this.#useAnswer(held);
    }
  }

  /** Asks some entry box for the addresses that callers of a domain use. */
  async #resolveAddresses(
    failureDomain: string,
  ): Promise<HeldAnswer | undefined> {
    const entry = this.#random.pick(this.#options.fleet.entries);
    const atMs = Date.now();
    const answer = await httpClient.sendJson({
      baseUrl: `http://${entry.address}:${layouts.PORTS.directory}`,
      method: "GET",
      path: `/resolve?name=${clients.ROUTE_HOST}&zone=${failureDomain}`,
      headers: {},
      timeoutMs: RESOLVE_TIMEOUT_MS,
      isFreshConnection: true,
    });
    if (answer.kind === "failure" || answer.value.status !== 200) {
      return undefined;
    }
    const { addresses, ttl_s: lifetimeS } = answer.value.json as {
      readonly addresses: readonly string[];
      readonly ttl_s: number;
    };
    return { addresses, untilMs: atMs + lifetimeS * 1_000 * USE_FACTOR };
  }

  /** Sends requests to the addresses of an answer until its use ends. */
  async #useAnswer({ addresses, untilMs }: HeldAnswer): Promise<void> {
    let usable = addresses;
    while (!this.#isStopped && Date.now() < untilMs && usable.length > 0) {
      const address = this.#random.pick(usable);
      await this.#useConnection(address, untilMs);
      usable = usable.filter((other) => other !== address);
    }
  }

  /**
   * Sends requests on one connection until it closes or the use ends.
   *
   * @returns Whether the box was reached.
   */
  async #useConnection(address: string, untilMs: number): Promise<boolean> {
    const [ip = ""] = address.split(":");
    const box = this.#options.fleet.entries.find((entry) =>
      entry.address === ip
    );
    if (box === undefined) return false;
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    let isReached = true;
    while (!this.#isStopped && Date.now() < untilMs) {
      const request = await this.#sendRequest(box, agent);
      this.#recordRequest(box, request);
      isReached = request.end.kind !== "notSent";
      if (request.end.kind !== "answered") break;
      await sleeps.sleep(this.#random.drawInteger(0, MAX_PAUSE_MS));
      if (request.isLast) break;
    }
    agent.destroy();
    return isReached;
  }

  #recordRequest(
    box: layouts.SoakBox,
    request: checkRequests.EndedRequest,
  ): void {
    const { fleet, standIns } = this.#options;
    if (request.end.kind === "answered") {
      this.#answerCount += 1;
      if (fleet.isStopping(box)) this.#answersWhileStopping += 1;
    }
    const fault = checkRequests.checkRequest(request, {
      hasRun: standIns.hasRun(request.id),
      boxFailedMs: fleet.getFailedMs(box),
    });
    if (fault !== undefined) this.#faults.push(fault);
  }

  /** Sends a request for work, or a read that waits. */
  async #sendRequest(
    box: layouts.SoakBox,
    agent: http.Agent,
  ): Promise<checkRequests.EndedRequest & { readonly isLast: boolean }> {
    this.#requestCount += 1;
    const id = `caller-${this.#requestCount}`;
    const submission = this.#options.getSubmission();
    const isRead = submission !== undefined &&
      this.#random.drawInteger(0, 3) === 0;
    const workMs = this.#random.pick(WORK_MS);
    const sentAtMs = Date.now();
    const { end, isLast } = await sendOnce({
      host: box.address,
      port: layouts.PORTS.caller,
      agent,
      method: isRead ? "GET" : "POST",
      path: isRead
        ? `/lots/${submission}?after_revision=${READ_AFTER}`
        : `/till/busy/${workMs}`,
      headers: {
        "host": clients.ROUTE_HOST,
        "x-request-id": id,
        "x-deadline-ms": String(DEADLINE_MS),
        ...(isRead ? { "x-wait-ms": String(READ_WAIT_MS) } : {}),
      },
    });
    return {
      id,
      box: box.name,
      sentAtMs,
      endedAtMs: Date.now(),
      end,
      isLast,
    };
  }
}

/** End of a request, and whether its answer closes the connection. */
interface SendOutcome {
  readonly end: checkRequests.EndedRequest["end"];
  readonly isLast: boolean;
}

function sendOnce(options: http.RequestOptions): Promise<SendOutcome> {
  return new Promise((resolve) => {
    const request = http.request(options);
    function cut(error: NodeJS.ErrnoException): void {
      clearTimeout(timer);
      const end = error.code === "ECONNREFUSED"
        ? { kind: "notSent" } as const
        : { kind: "cut", reason: error.message } as const;
      resolve({ end, isLast: true });
    }
    const timer = setTimeout(() => {
      cut(new Error("no answer long after the deadline"));
      request.destroy();
    }, DEADLINE_MS + DEADLINE_SLACK_MS);
    request.on("error", cut);
    request.on("response", (response) => {
      response.on("error", cut);
      response.resume().on("end", () => {
        if (!response.complete) return cut(new Error("the answer is short"));
        clearTimeout(timer);
        resolve({
          end: { kind: "answered", status: response.statusCode ?? 0 },
          isLast: response.headers.connection === "close",
        });
      });
    });
    request.end("{}");
  });
}
