import * as yaml from "yaml";
import type * as z from "zod";
import * as results from "../results/mod.ts";
import * as settingsSchemas from "./settings_schema.ts";

function findLine(
  document: yaml.Document,
  lines: yaml.LineCounter,
  path: readonly PropertyKey[],
): number {
  for (let length = path.length; length >= 0; length -= 1) {
    const node = document.getIn(path.slice(0, length), true);
    if (yaml.isNode(node) && node.range) {
      return lines.linePos(node.range[0]).line;
    }
  }
  return 1;
}

function formatIssue(
  issue: z.core.$ZodIssue,
  document: yaml.Document,
  lines: yaml.LineCounter,
): string {
  const path = issue.path.map(String).join(".") || "(top)";
  const line = findLine(document, lines, issue.path);
  return `line ${line}, ${path}: ${issue.message}`;
}

/**
 * Reads settings from YAML text and checks them.
 *
 * @param text The YAML text.
 * @param file The file's name, for messages.
 * @returns The settings, or a failure naming every error with its line.
 */
export function parseSettings(
  text: string,
  file: string,
): results.Result<settingsSchemas.Settings> {
  return parseYaml(text, file, settingsSchemas.settingsSchema);
}

/**
 * Reads YAML text and checks it against a schema.
 *
 * @param text The YAML text.
 * @param file The file's name, for messages.
 * @param schema The schema.
 * @returns The value, or a failure naming every error with its line.
 */
export function parseYaml<T extends z.ZodType>(
  text: string,
  file: string,
  schema: T,
): results.Result<z.output<T>> {
  const lines = new yaml.LineCounter();
  const document = yaml.parseDocument(text, { lineCounter: lines });
  const syntax = document.errors.map((error) =>
    `line ${lines.linePos(error.pos[0]).line}: ${error.message.split("\n")[0]}`
  );
  if (syntax.length > 0) return createSettingsFailure(file, syntax);
  const checked = schema.safeParse(document.toJS());
  if (checked.success) return results.createOk(checked.data);
  return createSettingsFailure(
    file,
    checked.error.issues.map((issue) => formatIssue(issue, document, lines)),
  );
}

function createSettingsFailure(
  file: string,
  errors: readonly string[],
): results.Result<never> {
  const list = errors.map((error) => `\n  ${error}`).join("");
  return results.createFailure(
    "badSettings",
    `Cannot parse settings: ${file} has ${errors.length} error(s)${list}`,
  );
}
