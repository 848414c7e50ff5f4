import * as chai from "chai";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as rawServers from "../fixtures/raw_server.ts";
import * as runFixtures from "./run_fixture_test.ts";
import type * as runItem from "./run_item.ts";
import * as textProgresses from "./text_progress.ts";

describe("run of an item beside surplus answers to its earlier runs", () => {
  const rawEngine = new rawServers.RawServer();

  before(() => rawEngine.start());

  after(() => rawEngine.stop());

  /**
   * Answers each run with the next of `answers`; on a connection that carries
   * a further run, a copy of the last answer comes before it.
   */
  function answerWithCopies(answers: readonly string[]): void {
    const last = new Map<number, string>();
    let run = 0;
    rawEngine.handle = ({ connection, socket }) => {
      const answer = answers[run] ?? "";
      run += 1;
      socket.write((last.get(connection) ?? "") + answer);
      last.set(connection, answer);
    };
  }

  function runThere(
    progress: textProgresses.TextProgress,
  ): Promise<runItem.RunOutcome> {
    return runFixtures.runOnce(progress, {
      engine: serverFixtures.createServer("e-raw", {
        port: rawEngine.getPort(),
      }),
    });
  }

  function formatStream(body: string): string {
    const headers = { id: "item-1", version: "3" };
    return rawServers.formatRawAnswer(200, headers, body);
  }

  // Guards against a surplus copy of a run's 500 that counts as a further
  // failed attempt, while the engine still runs the item.
  it("does not take a surplus 500 for the answer to its next run", async () => {
    const failure = rawServers.formatRawAnswer(500, { id: "item-1" });
    answerWithCopies([failure, formatStream("id: 1\ndata: a\n\n")]);
    const progress = new textProgresses.TextProgress();
    chai.expect((await runThere(progress)).kind).to.equal("failed");
    chai.expect((await runThere(progress)).kind).to.equal("finished");
    chai.expect(progress.getText()).to.equal("a");
  });

  // Guards against a surplus copy of an earlier run's text that ends the next
  // run as finished.
  it("does not take a surplus text for the answer to its next run", async () => {
    answerWithCopies([
      formatStream("id: 1\ndata: old\n\n"),
      formatStream("id: 1\ndata: new\n\n"),
    ]);
    const progress = new textProgresses.TextProgress();
    await runThere(progress);
    progress.reset();
    chai.expect((await runThere(progress)).kind).to.equal("finished");
    chai.expect(progress.getText()).to.equal("new");
  });
});
