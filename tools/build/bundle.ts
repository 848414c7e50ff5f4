import * as esbuild from "esbuild";

const OPTIONAL_NATIVE_MODULES = [
  "dtrace-provider",
  "unix-dgram",
  "mv",
  "safe-json-stringify",
];
/** Replaces `import.meta.url`, and suppresses process warnings. */
const BANNER =
  `var importMetaUrl = require("node:url").pathToFileURL(__filename).href;
process.removeAllListeners("warning");`;

/**
 * Bundles a program and its dependencies into one minified CommonJS file.
 *
 * @param entry Path of the program's main module.
 * @param file Path of the file to write.
 */
export async function buildBundle(entry: string, file: string): Promise<void> {
  await esbuild.build({
    entryPoints: [entry],
    outfile: file,
    bundle: true,
    minify: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    external: OPTIONAL_NATIVE_MODULES,
    define: { "import.meta.url": "importMetaUrl" },
    banner: { js: BANNER },
    logLevel: "error",
  });
}
