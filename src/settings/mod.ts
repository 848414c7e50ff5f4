/**
 * Settings of a box: a YAML file, validated before the box starts.
 *
 * @example
 * ```ts
 * import * as settings from "../settings/mod.ts";
 * const loaded = settings.loadSettings("box.yaml");
 * ```
 * @module
 */
export * from "./load_settings.ts";
export * from "./parse_settings.ts";
export * from "./settings_schema.ts";
