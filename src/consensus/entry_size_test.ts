import * as chai from "chai";
import * as entrySizes from "./_entry_size.ts";

/*
 * Messages, entries in flight and the log in memory are limited by estimated bytes.
 * An estimate by characters is up to three times too low for non-Latin text, so
 * the limits would admit more than the heap can hold.
 */

const CHARACTERS = 10_000;
const TEXTS = [
  { name: "Latin letters", text: "x".repeat(CHARACTERS) },
  { name: "Chinese characters", text: "字".repeat(CHARACTERS) },
  { name: "escaped line breaks", text: "\n".repeat(CHARACTERS) },
  { name: "quotes and backslashes", text: '"\\'.repeat(CHARACTERS) },
];
const MAX_UNDERESTIMATE_FACTOR = 1.5;

describe("estimateBytes", () => {
  for (const { name, text } of TEXTS) {
    it(`does not underestimate the encoded entry by much: ${name}`, () => {
      const entry = { index: 1, term: 1, command: { text } };
      const encoded = Buffer.byteLength(JSON.stringify(entry));
      chai.expect(entrySizes.estimateBytes(entry) * MAX_UNDERESTIMATE_FACTOR)
        .to.be.at.least(encoded);
    });
  }

  // Each store measures each entry once; encoding it took a quarter of the time that
  // a replica needs to receive an entry.
  it("encodes no text to measure it", () => {
    const { stringify } = JSON;
    let encodedCount = 0;
    JSON.stringify = ((value: unknown) => {
      encodedCount += 1;
      return stringify(value);
    }) as typeof JSON.stringify;
    try {
      const command = { text: "x".repeat(CHARACTERS) };
      entrySizes.estimateBytes({ index: 1, term: 1, command });
    } finally {
      JSON.stringify = stringify;
    }
    chai.expect(encodedCount).to.equal(0);
  });
});
