import * as fs from "node:fs";
import * as path from "node:path";
import type * as layouts from "./fleet_layout.ts";
import * as storeGroupStates from "./store_group_state.ts";

/** A parsed line of a box's log; `atMs` is wall-clock time. */
export interface LogLine {
  readonly atMs: number;
  readonly event: string;
  readonly fields: ReadonlyMap<string, string>;
}

function parseLine(text: string): LogLine | undefined {
  const fields = new Map(
    [...text.matchAll(/(\S+?)=("(?:[^"\\]|\\.)*"|\S+)/g)]
      .map(([, key = "", value = ""]) => [key, value] as const),
  );
  const event = fields.get("event");
  if (event === undefined) return undefined;
  return { atMs: Date.parse(fields.get("time") ?? ""), event, fields };
}

/** Reads the log lines of the store boxes about their `stores` replicas. */
export class StoreLogReader {
  readonly #folder: string;

  constructor(folder: string) {
    this.#folder = folder;
  }

  /** Reads the lines about the `stores` group since a wall-clock time. */
  readLines(box: layouts.SoakBox, sinceMs: number): readonly LogLine[] {
    const file = path.join(this.#folder, `${box.name}.log`);
    if (!fs.existsSync(file)) return [];
    return fs.readFileSync(file, "utf8").split("\n")
      .filter((text) => text.includes("group=stores"))
      .flatMap((text) => parseLine(text) ?? [])
      .filter((line) => line.atMs >= sinceMs);
  }

  /** Finds a box whose last authority line reports that it has authority. */
  findLeader(
    boxes: readonly layouts.SoakBox[],
    sinceMs: number,
  ): layouts.SoakBox | undefined {
    return boxes.find((box) =>
      this.#findLastFields(box, "replica.authority", sinceMs)
        ?.get("hasAuthority") === "true"
    );
  }

  /** Finds the voter that counts whose loss is worst. */
  findCounted(
    boxes: readonly layouts.SoakBox[],
    role: storeGroupStates.CountedRole,
  ): layouts.SoakBox | undefined {
    const lines = this.readAllLines(boxes);
    const state = storeGroupStates.readState(lines);
    const found = storeGroupStates.findCounted(state, role);
    return boxes.find((box) => box.name === found?.box);
  }

  /** Whether a box has opened its replica since a wall-clock time. */
  hasOpened(box: layouts.SoakBox, sinceMs: number): boolean {
    return this.readLines(box, sinceMs)
      .some((line) => line.event === "replica.opened");
  }

  /** Reads all lines about the `stores` group of several boxes. */
  readAllLines(boxes: readonly layouts.SoakBox[]): readonly LogLine[] {
    return boxes.flatMap((box) => this.readLines(box, 0));
  }

  /** Lists the voters' addresses in the newest line about voters of any box. */
  listVoters(boxes: readonly layouts.SoakBox[]): readonly string[] {
    const newest = this.readAllLines(boxes)
      .filter((line) => line.event === "replica.voters")
      .toSorted((a, b) => a.atMs - b.atMs).at(-1);
    return (newest?.fields.get("voters") ?? "").split(",");
  }

  /** Finds the first admission line of a box since its start. */
  findAdmission(box: layouts.SoakBox, startMs: number): LogLine | undefined {
    return this.readLines(box, startMs)
      .find((line) => line.event === "replica.admitted");
  }

  /** Whether a snapshot transfer to a box began since a wall-clock time. */
  hasSnapshotTransfer(
    boxes: readonly layouts.SoakBox[],
    receiver: layouts.SoakBox,
    sinceMs: number,
  ): boolean {
    return boxes.some((box) =>
      this.readLines(box, sinceMs).some((line) =>
        line.event === "replica.snapshotSent" &&
        line.fields.get("to") === receiver.address
      )
    );
  }

  #findLastFields(
    box: layouts.SoakBox,
    event: string,
    sinceMs: number,
  ): ReadonlyMap<string, string> | undefined {
    return this.readLines(box, sinceMs).findLast((line) => line.event === event)
      ?.fields;
  }
}
