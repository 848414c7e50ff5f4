import * as fs from "node:fs";

/** Ticks a second of the kernel's process times. */
const TICKS_PER_SECOND = 100;
const BYTES_PER_MB = 1_048_576;
const BYTES_PER_KB = 1_024;

/** What a process has used. */
export interface ProcessUsage {
  /** Processor time, in s. */
  readonly cpuSeconds: number;
  /** Resident memory, in MB. */
  readonly residentMb: number;
  /** Memory of its own, without shared pages of the executable, in MB. */
  readonly privateMb: number;
}

function readField(text: string, name: string): number {
  const match = new RegExp(`^${name}:\\s+(\\d+)`, "m").exec(text);
  return Number(match?.[1] ?? 0) * BYTES_PER_KB / BYTES_PER_MB;
}

/**
 * Reads what a process has used, as the kernel tells.
 *
 * @param pid Id of the process.
 * @returns Its usage.
 */
export function readUsage(pid: number): ProcessUsage {
  const stat = fs.readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  const status = fs.readFileSync(`/proc/${pid}/status`, "utf8");
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentMb: Math.round(10 * readField(status, "VmRSS")) / 10,
    privateMb: Math.round(10 * readField(status, "RssAnon")) / 10,
  };
}
