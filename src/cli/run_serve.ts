import * as daemons from "../daemon/mod.ts";
import * as results from "../results/mod.ts";
import * as settings from "../settings/mod.ts";
import * as reports from "./_report.ts";

/** Exit code after a second stop signal. */
const FORCED_STOP_EXIT_CODE = 130;

/**
 * Runs the daemon of a box until it is stopped. The first SIGTERM or SIGINT
 * begins the planned stop, a second one ends the process at once.
 *
 * @param file Settings file.
 * @returns The exit code.
 */
export async function runServe(file: string): Promise<number> {
  const loaded = settings.loadSettings(file);
  if (loaded.kind === "failure") return reports.reportFailure(loaded.failure);
  return await new Promise((resolve) => {
    const daemon = new daemons.Daemon(
      loaded.value,
      (end) => resolve(toExitCode(end)),
    );
    watchSignals(daemon);
    daemon.start().catch((error: unknown) =>
      resolve(reports.reportFailure(results.toFailure(error)))
    );
  });
}

function toExitCode(end: daemons.DaemonEnd): number {
  switch (end.kind) {
    case "stopped":
      return 0;
    case "failed":
      return reports.reportFailure(results.toFailure(end.error));
  }
}

function watchSignals(daemon: daemons.Daemon): void {
  let count = 0;
  for (const signal of ["SIGTERM", "SIGINT"] as const) {
    process.on(signal, () => {
      count += 1;
      if (count > 1) process.exit(FORCED_STOP_EXIT_CODE);
      daemon.drain();
    });
  }
}
