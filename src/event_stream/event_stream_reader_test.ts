import * as chai from "chai";
import * as eventStreamReaders from "./event_stream_reader.ts";

interface ParsedStream {
  readonly isWhole: boolean;
  readonly data: readonly string[];
}

/** Reads a stream in chunks of a size, in bytes. */
function readStream(text: string | Buffer, chunkBytes: number): ParsedStream {
  const data: string[] = [];
  const reader = new eventStreamReaders.EventStreamReader({
    onEvent: (event) => data.push(event.data),
  });
  const bytes = Buffer.from(text);
  for (let at = 0; at < bytes.length; at += chunkBytes) {
    reader.read(bytes.subarray(at, at + chunkBytes));
  }
  return { isWhole: reader.end(), data };
}

const CHUNK_SIZES = [1, 2, 3, 1_000];
const FIRST = "id: 1\ndata: ä\n\n";
const NEXT = "version: 4\nid: 2\ndata: bü\n\n";
const WHOLE = Buffer.from(FIRST + NEXT);
const BOUNDARIES = [0, Buffer.byteLength(FIRST), WHOLE.length];

describe("EventStreamReader", () => {
  for (const chunkBytes of CHUNK_SIZES) {
    // Guards against a text that breaks off inside an event and counts as whole.
    it(`finds each cut inside an event, in chunks of ${chunkBytes} bytes`, () => {
      for (let bytes = 0; bytes <= WHOLE.length; bytes += 1) {
        const { isWhole } = readStream(WHOLE.subarray(0, bytes), chunkBytes);
        const expected = BOUNDARIES.includes(bytes);
        chai.expect(isWhole, `after ${bytes} bytes`).to.equal(expected);
      }
    });

    for (const lineEnd of ["\n", "\r", "\r\n"]) {
      const name = JSON.stringify(lineEnd);
      it(`reads lines that end with ${name}, in chunks of ${chunkBytes} bytes`, () => {
        const text = `id: 1\ndata: a\n\n: note\n\nid: 2\ndata: b\n\n`
          .replaceAll("\n", lineEnd);
        const whole = readStream(text, chunkBytes);
        chai.expect(whole).to.deep.equal({ isWhole: true, data: ["a", "b"] });
        const cut = readStream(text.slice(0, -lineEnd.length), chunkBytes);
        chai.expect(cut).to.deep.equal({ isWhole: false, data: ["a"] });
      });
    }
  }

  it("takes whole comments for no event, and an unfinished one for a cut", () => {
    chai.expect(readStream(": note\n", 1).isWhole).to.equal(true);
    chai.expect(readStream(": no", 1).isWhole).to.equal(false);
    chai.expect(readStream("id: 1\n: note\n", 1).isWhole).to.equal(false);
  });

  it("reads line ends of several kinds in one stream", () => {
    const text = "data: a\r\n\ndata: b\r\r\ndata: c\n\r";
    chai.expect(readStream(text, 1)).to.deep.equal({
      isWhole: true,
      data: ["a", "b", "c"],
    });
  });
});
