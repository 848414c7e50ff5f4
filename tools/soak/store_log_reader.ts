import * as fs from "node:fs";
import * as path from "node:path";
import type * as layouts from "./fleet_layout.ts";

/** A line of a box's log. */
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

/** Reads what the store boxes write about their replicas of the stores. */
export class StoreLogReader {
  readonly #folder: string;

  constructor(folder: string) {
    this.#folder = folder;
  }

  /** Lines of a box about the stores since a time of the wall clock. */
  readLines(box: layouts.SoakBox, sinceMs: number): readonly LogLine[] {
    const file = path.join(this.#folder, `${box.name}.log`);
    if (!fs.existsSync(file)) return [];
    return fs.readFileSync(file, "utf8").split("\n")
      .filter((text) => text.includes("group=stores"))
      .flatMap((text) => parseLine(text) ?? [])
      .filter((line) => line.atMs >= sinceMs);
  }

  /** The box that has authority, if its own last line about it says so. */
  findLeader(
    boxes: readonly layouts.SoakBox[],
    sinceMs: number,
  ): layouts.SoakBox | undefined {
    return boxes.find((box) =>
      this.#findLastFields(box, "replica.authority", sinceMs)
        ?.get("hasAuthority") === "true"
    );
  }

  /** The voters' addresses, as the newest line about them tells. */
  listVoters(boxes: readonly layouts.SoakBox[]): readonly string[] {
    const newest = boxes.flatMap((box) => this.readLines(box, 0))
      .filter((line) => line.event === "replica.voters")
      .toSorted((a, b) => a.atMs - b.atMs).at(-1);
    return (newest?.fields.get("voters") ?? "").split(",");
  }

  /** The line of a box's admission after it was started, if there is one. */
  findAdmission(box: layouts.SoakBox, startMs: number): LogLine | undefined {
    return this.readLines(box, startMs)
      .find((line) => line.event === "replica.admitted");
  }

  /** Whether a snapshot began to be sent to a box since a time. */
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
