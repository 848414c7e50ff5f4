import type * as dialects from "../dialect/mod.ts";
import * as fleetSettings from "../fleet_settings/mod.ts";
import * as logs from "../log/mod.ts";
import * as results from "../results/mod.ts";
import * as fleetDaemons from "./fleet_daemon.ts";

const FAILED_EXIT_CODE = 1;

/**
 * Runs a box until it is stopped. SIGTERM begins the planned stop; SIGHUP has
 * the settings read and checked again.
 *
 * @param file Settings file.
 * @param dialect What the platform speaks.
 * @returns The exit code.
 */
export async function runBox(
  file: string,
  dialect: dialects.Dialect,
): Promise<number> {
  const lines = new logs.LineBuffer();
  const loaded = fleetSettings.loadFleetSettings(file);
  if (loaded.kind === "failure") {
    process.stderr.write(`${loaded.failure.message}\n`);
    return results.RESULT_CODES[loaded.failure.code].exitCode;
  }
  const settings = loaded.value;
  const end = await new Promise<fleetDaemons.BoxEnd>((resolve) => {
    const daemon = new fleetDaemons.FleetDaemon(
      { settings, dialect, lines },
      resolve,
    );
    process.on("SIGTERM", () => void daemon.drain());
    process.on("SIGHUP", () => checkSettings(file, settings, lines));
    daemon.start().catch((error: unknown) =>
      resolve({ kind: "failed", error })
    );
  });
  lines.flush();
  return end.kind === "stopped" ? 0 : FAILED_EXIT_CODE;
}

/** Nothing in the settings changes while a box runs but the seeds to ask. */
function checkSettings(
  file: string,
  settings: fleetSettings.FleetSettings,
  lines: logs.LineBuffer,
): void {
  const log = new logs.Log(
    settings.box.name,
    settings.log.level,
    (line) => lines.add(line),
  );
  const loaded = fleetSettings.loadFleetSettings(file);
  if (loaded.kind === "failure") {
    log.write("warn", "settings.refused", { message: loaded.failure.message });
  } else {log.write("info", "settings.reloaded", {
      seeds: loaded.value.seeds.length,
    });}
}
