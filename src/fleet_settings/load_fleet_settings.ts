import * as fs from "node:fs";
import * as results from "../results/mod.ts";
import * as settings from "../settings/mod.ts";
import * as fleetSettings from "./fleet_settings.ts";

/**
 * Reads and validates the settings file of a box that discovers others from seeds.
 *
 * @param file Path of the YAML file.
 * @returns The settings, or `badSettings` that lists every error with its line.
 */
export function loadFleetSettings(
  file: string,
): results.Result<fleetSettings.FleetSettings> {
  try {
    const text = fs.readFileSync(file, "utf8");
    return settings.parseYaml(text, file, fleetSettings.fleetSettingsSchema);
  } catch (error) {
    return results.createFailure(
      "badSettings",
      `Cannot read settings: ${(error as Error).message}`,
    );
  }
}
