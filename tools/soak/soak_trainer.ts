import * as crypto from "node:crypto";
import * as sleeps from "../stand_ins/sleep.ts";
import * as standInServers from "./stand_in_servers.ts";
import type * as clients from "./soak_client.ts";

/** Size and rate of the submissions. */
export interface TrainerLoad {
  readonly intervalMs: number;
  readonly groups: number;
  readonly itemsPerGroup: number;
  readonly bodyBytes: number;
  /** Number of complete groups after which a submission is ended. */
  readonly desired: number;
}

/** An accepted submission and the results that were read from it. */
interface AcceptedSubmission {
  readonly id: string;
  readonly items: number;
  /** Digest of each result by position; a result must never change. */
  readonly digests: string[];
}

/** Outcome of reading the results of all accepted submissions again. */
export interface TrainerVerdict {
  readonly accepted: number;
  readonly results: number;
  /** Submissions whose results were missing or had changed. */
  readonly faults: readonly string[];
}

interface ResultPage {
  readonly total: number;
  readonly results: readonly { readonly state: string }[];
}

const REQUEST_TIMEOUT_MS = 15_000;
const READ_TIMEOUT_MS = 25_000;
const READ_INTERVAL_MS = 400;
const OK = 200;
const ACCEPTED = 202;

function computeDigest(value: unknown): string {
  return crypto.createHash("sha1").update(JSON.stringify(value)).digest("hex");
}

/** Client of the entry boxes, as far as a trainer needs it. */
type TrainerClient = Pick<clients.SoakClient, "send" | "sendUntil">;

/** Sends submissions, reads their results, ends them and records digests. */
export class SoakTrainer {
  readonly #client: TrainerClient;
  readonly #load: TrainerLoad;
  readonly #submissions: AcceptedSubmission[] = [];
  readonly #faults: string[] = [];
  readonly #body: string;
  #nextStep = 0;
  #isStopped = false;

  constructor(client: TrainerClient, load: TrainerLoad) {
    this.#client = client;
    this.#load = load;
    this.#body = Buffer.from(
      JSON.stringify({ prompt: "p".repeat(load.bodyBytes) }),
    ).toString("base64");
  }

  /** Sends submissions at a fixed interval until the trainer is stopped. */
  async run(): Promise<void> {
    let dueMs = Date.now();
    while (!this.#isStopped) {
      void this.#runSubmission(this.#nextStep);
      this.#nextStep += 1;
      dueMs += this.#load.intervalMs;
      await sleeps.sleep(Math.max(0, dueMs - Date.now()));
    }
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Returns the id of the newest accepted submission, if there is any. */
  getNewestSubmission(): string | undefined {
    return this.#submissions.at(-1)?.id;
  }

  /**
   * Reads all accepted submissions again from their first result and compares
   * the digests.
   *
   * @param deadlineMs Wall-clock time after which a missing result is a fault,
   * in ms.
   */
  async verifyResults(deadlineMs: number): Promise<TrainerVerdict> {
    const faults = await Promise.all(
      this.#submissions.map((submission) =>
        this.#verifySubmission(submission, deadlineMs)
      ),
    );
    return {
      accepted: this.#submissions.length,
      results: this.#submissions.reduce(
        (sum, submission) => sum + submission.digests.length,
        0,
      ),
      faults: [...this.#faults, ...faults.flat()],
    };
  }

  async #runSubmission(step: number): Promise<void> {
    const id = `sub-${step}-${crypto.randomUUID()}`;
    const answer = await this.#client.sendUntil(
      this.#createSubmission(id, step),
      Date.now() + REQUEST_TIMEOUT_MS,
      [ACCEPTED],
    );
    if (answer === undefined) return;
    const { groups, itemsPerGroup } = this.#load;
    const submission: AcceptedSubmission = {
      id,
      items: groups * itemsPerGroup,
      digests: [],
    };
    this.#submissions.push(submission);
    await this.#readResults(submission);
    if (!this.#isStopped) await this.#endSubmission(submission);
  }

  async #readResults(submission: AcceptedSubmission): Promise<void> {
    const deadlineMs = Date.now() + READ_TIMEOUT_MS;
    const desiredResults = this.#load.desired * this.#load.itemsPerGroup;
    while (Date.now() < deadlineMs && !this.#isStopped) {
      const page = await this.#readPage(
        submission.id,
        submission.digests.length,
      );
      for (const result of page?.results ?? []) {
        this.#recordResult(submission, computeDigest(result));
      }
      if (submission.digests.length >= desiredResults) return;
      await sleeps.sleep(READ_INTERVAL_MS);
    }
  }

  /** Records a result; reports one that was listed before or is one too many. */
  #recordResult(submission: AcceptedSubmission, digest: string): void {
    const { id, items, digests } = submission;
    const index = digests.length;
    if (digests.includes(digest)) {
      this.#faults.push(`${id}: result ${index} was listed before`);
    }
    if (index >= items) {
      this.#faults.push(`${id}: result ${index} of ${items} items`);
    }
    digests.push(digest);
  }

  async #endSubmission(submission: AcceptedSubmission): Promise<void> {
    await this.#client.sendUntil(
      { kind: "caller", method: "DELETE", path: `/lots/${submission.id}` },
      Date.now() + REQUEST_TIMEOUT_MS,
      [OK],
    );
  }

  async #readPage(id: string, after: number): Promise<ResultPage | undefined> {
    const answer = await this.#client.send({
      kind: "caller",
      method: "GET",
      path: `/lots/${id}?after_revision=${after}`,
      headers: { "x-wait-ms": "1000" },
    });
    return answer?.status === OK ? answer.json as ResultPage : undefined;
  }

  async #verifySubmission(
    submission: AcceptedSubmission,
    deadlineMs: number,
  ): Promise<readonly string[]> {
    const digests: string[] = [];
    while (digests.length < submission.digests.length || digests.length === 0) {
      if (Date.now() > deadlineMs) {
        return [
          `${submission.id}: read ${digests.length} of ${submission.digests.length}`,
        ];
      }
      const page = await this.#readPage(submission.id, digests.length);
      if (page === undefined) await sleeps.sleep(READ_INTERVAL_MS);
      else if (page.results.length === 0 && submission.digests.length === 0) {
        break;
      }
      for (const result of page?.results ?? []) {
        digests.push(computeDigest(result));
      }
    }
    const changedIndex = submission.digests.findIndex((digest, index) =>
      digests[index] !== digest
    );
    return changedIndex < 0
      ? []
      : [`${submission.id}: result ${changedIndex} is another one`];
  }

  #createSubmission(id: string, step: number): clients.EntryRequest {
    const { groups, itemsPerGroup, desired } = this.#load;
    const items = Array.from({ length: groups * itemsPerGroup }, (_, index) => {
      const item = `${id}.${index}`;
      return {
        id: item,
        path: "/steps/run",
        headers: { "X-Model": standInServers.MODEL },
        body: this.#body,
        tokens: 900,
        group: `g${Math.floor(index / itemsPerGroup)}`,
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
        model: standInServers.MODEL,
        minimum_version: 1,
        desired,
        items,
      },
    };
  }
}
