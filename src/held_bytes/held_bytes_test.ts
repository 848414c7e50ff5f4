import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as byteCollectors from "./byte_collector.ts";
import * as heldBytes from "./held_bytes.ts";

const SEED = 7;
const MB = 1_000_000;
/** Most bytes by which collected bytes may exceed those received. */
const MAX_SLACK_BYTES = 1024 * 1024;

// Guards against bounds that count the bytes received while their objects take up
// hundreds of times as much, and against bytes of one body in another.
describe("byte collector", () => {
  it("returns the bytes of all pieces, whatever their sizes", () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.array(fastCheck.integer({ min: 1, max: 300_000 }), {
          maxLength: 12,
        }),
        (sizes) => {
          const collector = new byteCollectors.ByteCollector();
          const pieces = sizes.map((size, at) => Buffer.alloc(size, at + 1));
          for (const piece of pieces) collector.append(piece);
          const whole = Buffer.concat(pieces);
          const slack = collector.getAllocatedBytes() - whole.length;
          chai.expect(slack).to.be.within(0, MAX_SLACK_BYTES);
          chai.expect(collector.takeBuffer().equals(whole)).to.equal(true);
          chai.expect(collector.getAllocatedBytes()).to.equal(0);
        },
      ),
      { seed: SEED, numRuns: 60 },
    );
  });

  it("takes up little for pieces of one byte", () => {
    const collector = new byteCollectors.ByteCollector();
    for (let at = 0; at < 50_000; at += 1) {
      collector.append(Buffer.from([at % 256]));
    }
    chai.expect(collector.getSize()).to.equal(50_000);
    chai.expect(collector.getAllocatedBytes()).to.be.at.most(65_536);
    const bytes = collector.takeBuffer();
    chai.expect(bytes.every((byte, at) => byte === at % 256)).to.equal(true);
  });

  it("doesn't change bytes that were taken when others are collected", () => {
    const collector = new byteCollectors.ByteCollector();
    for (const fill of [1, 1]) collector.append(Buffer.alloc(100_000, fill));
    const first = collector.takeBuffer();
    for (const fill of [2, 2]) collector.append(Buffer.alloc(100_000, fill));
    const second = collector.takeBuffer();
    chai.expect(first.every((byte) => byte === 1)).to.equal(true);
    chai.expect(second.every((byte) => byte === 2)).to.equal(true);
  });
});

describe("bound of held bytes", () => {
  let aborted: string[];
  let held: heldBytes.HeldBytes;

  beforeEach(() => {
    aborted = [];
    held = new heldBytes.HeldBytes(10 * MB);
  });

  function createHolder(name: string): heldBytes.ByteHolder {
    return { abort: () => void aborted.push(name) };
  }

  it("spares a single large holder, also beside small ones", () => {
    held.add(createHolder("large"), 30 * MB);
    for (let at = 0; at < 100; at += 1) held.add(createHolder("small"), 1_000);
    chai.expect(aborted).to.deep.equal([]);
  });

  it("gives up a large holder, not a small one, once another large one comes", () => {
    held.add(createHolder("small"), 1_000);
    held.add(createHolder("large"), 8 * MB);
    held.add(createHolder("less large"), 5 * MB);
    chai.expect(aborted).to.deep.equal(["large"]);
  });

  it("never gives up a holder that is kept", () => {
    const kept = createHolder("kept");
    held.add(kept, 9 * MB);
    held.keep(kept);
    held.add(createHolder("other"), 2 * MB);
    chai.expect(aborted).to.deep.equal(["other"]);
    held.release(kept);
    chai.expect(held.getTotal()).to.equal(0);
  });

  it("bounds what small holders hold together", () => {
    for (let at = 0; at < 2_000; at += 1) {
      held.add(createHolder("small"), 10_000);
    }
    chai.expect(held.getTotal()).to.be.at.most(12.5 * MB);
    chai.expect(aborted).to.not.be.empty;
  });
});
