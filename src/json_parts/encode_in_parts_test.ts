import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as encodeInParts from "./encode_in_parts.ts";

const SEED = 7;

// Guards against a large message that another box reads as another value.
describe("encoding in parts", () => {
  it("gives the text that encoding at once gives", () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.jsonValue({ maxDepth: 6 }), (value) => {
        const bytes = encodeInParts.encodeInParts(Buffer.from("head"), value);
        chai.expect(bytes.toString()).to.equal(`head${JSON.stringify(value)}`);
      }),
      { seed: SEED },
    );
  });

  it("leaves out fields without a value, and keeps text of any script", () => {
    const value = { a: undefined, b: [undefined, "ü\u0000€😀"], c: {}, d: [] };
    const bytes = encodeInParts.encodeInParts(Buffer.alloc(0), value);
    chai.expect(bytes.toString()).to.equal(JSON.stringify(value));
  });
});
