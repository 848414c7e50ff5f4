/**
 * Builds `dist/hoistscale`: one bundle inside a copy of the Node executable.
 *
 * @example `npm run build`
 * @module
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as bundles from "./bundle.ts";

const BUNDLE = "dist/hoistscale.cjs";
const BLOB = "dist/hoistscale.blob";
const BINARY = "dist/hoistscale";
const STAGED_BINARY = "dist/hoistscale.new";
const SEA_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
function buildBlob(): void {
  const config = "dist/sea.json";
  fs.writeFileSync(
    config,
    JSON.stringify({
      main: BUNDLE,
      output: BLOB,
      disableExperimentalSEAWarning: true,
      useCodeCache: true,
    }),
  );
  childProcess.execFileSync(process.execPath, [
    "--experimental-sea-config",
    config,
  ], { stdio: "pipe" });
}

function insertBlob(): void {
  fs.rmSync(STAGED_BINARY, { force: true });
  fs.rmSync(BINARY, { force: true });
  fs.copyFileSync(process.execPath, STAGED_BINARY);
  childProcess.execFileSync(process.execPath, [
    "node_modules/postject/dist/cli.js",
    STAGED_BINARY,
    "NODE_SEA_BLOB",
    BLOB,
    "--sentinel-fuse",
    SEA_FUSE,
  ], { stdio: "pipe" });
  fs.copyFileSync(STAGED_BINARY, BINARY);
  fs.rmSync(STAGED_BINARY);
  fs.chmodSync(BINARY, 0o755);
}

async function buildBinary(): Promise<void> {
  fs.mkdirSync("dist", { recursive: true });
  await bundles.buildBundle("src/main.ts", BUNDLE);
  buildBlob();
  insertBlob();
  console.log(`built ${BINARY}`);
}

await buildBinary();
