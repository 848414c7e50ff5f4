/**
 * Writes the generated reference pages.
 *
 * @example `npm run reference`
 * @module
 */
import * as fs from "node:fs";
import * as renderReferences from "./render_reference.ts";

fs.writeFileSync("docs/codes.md", renderReferences.renderCodes());
fs.writeFileSync("docs/settings.md", renderReferences.renderSettings());
