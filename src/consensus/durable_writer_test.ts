import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as csp from "../csp/mod.ts";
import type * as storage from "../storage/mod.ts";
import * as durableWriters from "./_durable_writer.ts";

describe("durable writer", () => {
  it("tells how long the write under way has lasted", async () => {
    let finish: () => void = () => {};
    const log = {
      append: () => new Promise<void>((resolve) => (finish = resolve)),
    } as unknown as storage.DurableLog;
    const clock = new clocks.FakeClock(1_000);
    const writer = new durableWriters.DurableWriter(log, clock);
    chai.expect(writer.getWritingMs()).to.equal(0);
    const written = csp.runProcess(() => writer.append([]), () => {});
    await new Promise((resolve) => setImmediate(resolve));
    clock.advance(5_000);
    chai.expect(writer.getWritingMs()).to.equal(5_000);
    finish();
    await written;
    chai.expect(writer.getWritingMs()).to.equal(0);
  });
});
