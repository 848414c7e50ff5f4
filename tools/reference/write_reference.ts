/**
 * Writes the generated reference pages `docs/codes.md` and `docs/settings.md`.
 *
 * @example `npm run reference`
 * @module
 */
import * as fs from "node:fs";
import * as renderReference from "./render_reference.ts";

fs.writeFileSync("docs/codes.md", renderReference.renderCodes());
fs.writeFileSync("docs/settings.md", renderReference.renderSettings());
