import * as chai from "chai";
import * as logs from "./log.ts";

describe("log", () => {
  it("writes one line of key=value pairs per event, quoted where needed", () => {
    const lines: string[] = [];
    const log = new logs.Log("box-1", "info", (line) => lines.push(line));
    log.write("info", "lease.granted", {
      untilMs: 5,
      note: 'a "b"',
      left: undefined,
    });
    chai.expect(lines).to.have.length(1);
    chai.expect(lines[0]).to.match(
      /^time=\S+ level=info event=lease\.granted box=box-1 untilMs=5 note="a \\"b\\""\n$/,
    );
  });

  it("applies a changed level to later events", () => {
    const lines: string[] = [];
    const log = new logs.Log("box-1", "warn", (line) => lines.push(line));
    log.write("info", "hidden");
    log.setLevel("debug");
    log.write("debug", "shown");
    chai.expect(lines.map((line) => /event=(\S+)/.exec(line)?.[1])).to.deep
      .equal(["shown"]);
  });
});
