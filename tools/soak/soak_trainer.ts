import * as crypto from "node:crypto";
import * as sleeps from "../stand_ins/sleep.ts";
import * as engineServices from "./engine_service.ts";
import type * as clients from "./soak_client.ts";

/** Shape of the load. */
export interface TrainerLoad {
  readonly everyMs: number;
  readonly groups: number;
  readonly itemsPerGroup: number;
  readonly bodyBytes: number;
  /** Whole groups after which a submission is ended. */
  readonly desired: number;
}

/** An accepted submission and what was read of it. */
interface KeptSubmission {
  readonly id: string;
  readonly items: number;
  /** One a position; they never change. */
  readonly digests: string[];
  isEnded: boolean;
}

/** What the results of all accepted submissions came to. */
export interface TrainerVerdict {
  readonly accepted: number;
  readonly results: number;
  /** Submissions that could not be read, or read differently. */
  readonly faults: readonly string[];
}

interface ResultPage {
  readonly total: number;
  readonly results: readonly { readonly state: string }[];
}

const ACCEPT_MS = 15_000;
const RUN_MS = 25_000;
const READ_PAUSE_MS = 400;
const OK = 200;
const ACCEPTED = 202;

function computeDigest(value: unknown): string {
  return crypto.createHash("sha1").update(JSON.stringify(value)).digest("hex");
}

/** Sends submissions, reads and ends them, and remembers what it read. */
export class SoakTrainer {
  readonly #client: clients.SoakClient;
  readonly #load: TrainerLoad;
  readonly #kept: KeptSubmission[] = [];
  readonly #faults: string[] = [];
  readonly #body: string;
  #step = 0;
  #isStopped = false;

  constructor(client: clients.SoakClient, load: TrainerLoad) {
    this.#client = client;
    this.#load = load;
    this.#body = Buffer.from(
      JSON.stringify({ prompt: "p".repeat(load.bodyBytes) }),
    ).toString("base64");
  }

  /** Sends a submission at each due time until it is stopped. */
  async run(): Promise<void> {
    let dueMs = Date.now();
    while (!this.#isStopped) {
      void this.#follow(this.#step);
      this.#step += 1;
      dueMs += this.#load.everyMs;
      await sleeps.sleep(Math.max(0, dueMs - Date.now()));
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Reads all that was accepted from its start, until a time. */
  async judge(endMs: number): Promise<TrainerVerdict> {
    const read = await Promise.all(
      this.#kept.map((kept) => this.#judgeOne(kept, endMs)),
    );
    return {
      accepted: this.#kept.length,
      results: this.#kept.reduce((sum, kept) => sum + kept.digests.length, 0),
      faults: [...this.#faults, ...read.flat()],
    };
  }

  async #follow(step: number): Promise<void> {
    const id = `sub-${step}-${crypto.randomUUID()}`;
    const answer = await this.#client.askUntil(
      this.#createSubmission(id, step),
      Date.now() + ACCEPT_MS,
      [ACCEPTED],
    );
    if (answer === undefined) return;
    const { groups, itemsPerGroup } = this.#load;
    const kept: KeptSubmission = {
      id,
      items: groups * itemsPerGroup,
      digests: [],
      isEnded: false,
    };
    this.#kept.push(kept);
    await this.#readOn(kept);
    if (!this.#isStopped) await this.#end(kept);
  }

  async #readOn(kept: KeptSubmission): Promise<void> {
    const endMs = Date.now() + RUN_MS;
    const wanted = this.#load.desired * this.#load.itemsPerGroup;
    while (Date.now() < endMs && !this.#isStopped) {
      const page = await this.#read(kept.id, kept.digests.length);
      for (const result of page?.results ?? []) {
        kept.digests.push(computeDigest(result));
      }
      if (kept.digests.length >= wanted) return;
      await sleeps.sleep(READ_PAUSE_MS);
    }
  }

  async #end(kept: KeptSubmission): Promise<void> {
    const ended = await this.#client.askUntil(
      { kind: "caller", method: "DELETE", path: `/lots/${kept.id}` },
      Date.now() + ACCEPT_MS,
      [OK],
    );
    kept.isEnded = ended !== undefined;
  }

  async #read(id: string, after: number): Promise<ResultPage | undefined> {
    const answer = await this.#client.ask({
      kind: "caller",
      method: "GET",
      path: `/lots/${id}?after_revision=${after}`,
      headers: { "x-wait-ms": "1000" },
    });
    return answer?.status === OK ? answer.json as ResultPage : undefined;
  }

  async #judgeOne(
    kept: KeptSubmission,
    endMs: number,
  ): Promise<readonly string[]> {
    const digests: string[] = [];
    while (digests.length < kept.digests.length || digests.length === 0) {
      if (Date.now() > endMs) {
        return [`${kept.id}: read ${digests.length} of ${kept.digests.length}`];
      }
      const page = await this.#read(kept.id, digests.length);
      if (page === undefined) await sleeps.sleep(READ_PAUSE_MS);
      else if (page.results.length === 0 && kept.digests.length === 0) break;
      for (const result of page?.results ?? []) {
        digests.push(computeDigest(result));
      }
    }
    const changed = kept.digests.findIndex((digest, at) =>
      digests[at] !== digest
    );
    return changed < 0 ? [] : [`${kept.id}: result ${changed} is another one`];
  }

  #createSubmission(id: string, step: number): clients.EntryCall {
    const { groups, itemsPerGroup, desired } = this.#load;
    const items = Array.from({ length: groups * itemsPerGroup }, (_, at) => {
      const item = `${id}.${at}`;
      return {
        id: item,
        path: "/steps/run",
        headers: { "X-Model": engineServices.MODEL },
        body: this.#body,
        tokens: 900,
        group: `g${Math.floor(at / itemsPerGroup)}`,
        scoring_endpoint: {
          id: `score-${item}`,
          host: "a.example",
          path: "/till/score",
          body: Buffer.from("{}").toString("base64"),
        },
      };
    });
    return {
      kind: "caller",
      method: "POST",
      path: "/steps/new",
      headers: { "x-request-id": id },
      json: {
        step,
        model: engineServices.MODEL,
        minimum_version: 1,
        desired,
        items,
      },
    };
  }
}
