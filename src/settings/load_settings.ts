import * as fs from "node:fs";
import * as results from "../results/mod.ts";
import * as parseSettings from "./parse_settings.ts";
import type * as settingsSchemas from "./settings_schema.ts";

/**
 * Reads and validates a settings file.
 *
 * @param file Path of the YAML file.
 * @returns The settings, or `badSettings` with every error and its line.
 */
export function loadSettings(
  file: string,
): results.Result<settingsSchemas.Settings> {
  try {
    return parseSettings.parseSettings(fs.readFileSync(file, "utf8"), file);
  } catch (error) {
    return results.createFailure(
      "badSettings",
      `Cannot read settings: ${(error as Error).message}`,
    );
  }
}
