/**
 * Formats the repository's TypeScript in deno fmt style, or checks it.
 *
 * @example `tsx tools/check/format.ts --write`
 * @module
 */
import * as fs from "node:fs";
import * as path from "node:path";
import * as dprint from "@dprint/formatter";
import * as typescript from "@dprint/typescript";

const ROOTS = ["src", "tools", "platform"];
const NO_FILES: readonly string[] = [];

function listFiles(folder: string): readonly string[] {
  return fs.readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const full = path.join(folder, entry.name);
    if (entry.isDirectory()) return listFiles(full);
    return full.endsWith(".ts") ? [full] : NO_FILES;
  });
}

function createFormatter(): dprint.Formatter {
  const formatter = dprint.createFromBuffer(
    fs.readFileSync(typescript.getPath()),
  );
  formatter.setConfig({ lineWidth: 80, indentWidth: 2 }, { deno: true });
  return formatter;
}

function runFormat(write: boolean): number {
  const formatter = createFormatter();
  const unformatted = ROOTS.flatMap(listFiles).filter((file) => {
    const before = fs.readFileSync(file, "utf8");
    const after = formatter.formatText({ filePath: file, fileText: before });
    if (after === before) return false;
    if (write) fs.writeFileSync(file, after);
    return true;
  });
  for (const file of unformatted) {
    console.log(`${write ? "formatted" : "not formatted"}: ${file}`);
  }
  return write ? 0 : Math.min(unformatted.length, 1);
}

process.exitCode = runFormat(process.argv.includes("--write"));
