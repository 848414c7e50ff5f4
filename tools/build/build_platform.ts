/**
 * Builds `target/hoistscale.cjs`, the program that `deploy/system.toml` starts.
 *
 * @example `tsx tools/build/build_platform.ts`
 * @module
 */
import * as bundles from "./bundle.ts";

await bundles.buildBundle("platform/main.ts", "target/hoistscale.cjs");
console.log("built target/hoistscale.cjs");
