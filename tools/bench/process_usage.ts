import * as fs from "node:fs";

const NS_PER_SECOND = 1_000_000_000;
const BYTES_PER_MB = 1_048_576;
const BYTES_PER_KB = 1_024;

/** Resources that a process uses. */
export interface ProcessUsage {
  /** Processor time since the process started, in s. */
  readonly cpuSeconds: number;
  /** Resident memory, in MB. */
  readonly residentMb: number;
  /** Anonymous resident memory, without pages of mapped files, in MB. */
  readonly privateMb: number;
}

function readSizeMb(text: string, name: string): number {
  const match = new RegExp(`^${name}:\\s+(\\d+)`, "m").exec(text);
  return Number(match?.[1] ?? 0) * BYTES_PER_KB / BYTES_PER_MB;
}

/**
 * Sums the run times of all threads. The scheduler counts these exactly, while
 * the times in `/proc/PID/stat` are sampled and misjudge short, regular work.
 */
function readCpuSeconds(pid: number): number {
  const folder = `/proc/${pid}/task`;
  const times = fs.readdirSync(folder).map((thread) =>
    Number(
      fs.readFileSync(`${folder}/${thread}/schedstat`, "utf8").split(" ")[0],
    )
  );
  return times.reduce((sum, time) => sum + time, 0) / NS_PER_SECOND;
}

/**
 * Reads the resource usage of a process from `/proc`.
 *
 * @param pid Id of the process.
 * @returns Its usage; throws if the process does not exist.
 */
export function readUsage(pid: number): ProcessUsage {
  const status = fs.readFileSync(`/proc/${pid}/status`, "utf8");
  return {
    cpuSeconds: readCpuSeconds(pid),
    residentMb: Math.round(10 * readSizeMb(status, "VmRSS")) / 10,
    privateMb: Math.round(10 * readSizeMb(status, "RssAnon")) / 10,
  };
}
