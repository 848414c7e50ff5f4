import * as chai from "chai";
import * as entrySizes from "./_entry_size.ts";

/*
 * Messages, the entries on their way and the log in memory are bounded in bytes, by
 * an estimate that counts the characters of a text. Most of the world's scripts
 * take two bytes a character in memory and three in a message, so a message of
 * 512 KB has 1.5 MB, and the log's 24 and 32 MB are twice as much of a heap of
 * 140 MB.
 */

const CHARACTERS = 10_000;
const TEXTS = [
  { name: "Latin letters", text: "x".repeat(CHARACTERS) },
  { name: "Chinese characters", text: "字".repeat(CHARACTERS) },
  { name: "line breaks, which are escaped", text: "\n".repeat(CHARACTERS) },
];
const MAX_UNDERESTIMATE_FACTOR = 1.5;

describe("estimated size of an entry", () => {
  for (const { name, text } of TEXTS) {
    it(`is not far below the encoded one, ${name}`, () => {
      const entry = { index: 1, term: 1, command: { text } };
      const encoded = Buffer.byteLength(JSON.stringify(entry));
      chai.expect(entrySizes.estimateBytes(entry) * MAX_UNDERESTIMATE_FACTOR)
        .to.be.at.least(encoded);
    });
  }
});
