import type * as dialects from "../dialect/mod.ts";
import * as fleetSettings from "../fleet_settings/mod.ts";
import * as logs from "../log/mod.ts";
import * as results from "../results/mod.ts";
import * as fleetDaemons from "./fleet_daemon.ts";

const FAILED_EXIT_CODE = 1;

/**
 * Runs a box until it stops. SIGTERM begins a graceful shutdown; SIGHUP reads
 * and validates the settings file again, without applying it.
 *
 * @param file Path of the settings file.
 * @param dialect Formats and parses the platform's requests and answers.
 * @returns The exit code of the process.
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

/** Reads the settings file and logs whether it is valid. */
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
