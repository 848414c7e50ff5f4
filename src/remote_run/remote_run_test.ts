import * as chai from "chai";
import * as rawServers from "../fixtures/raw_server.ts";
import * as itemRuns from "../item_run/mod.ts";
import * as fakeBoxes from "./fake_box_fixture_test.ts";
import * as fixtures from "./remote_run_fixture_test.ts";

// Guards against a leader that reads the streams of all items itself until it is too
// late to keep its lease.
describe("run of an item at another box", () => {
  let fixture = new fixtures.RemoteRunFixture();

  beforeEach(async () => {
    fixture = new fixtures.RemoteRunFixture();
    await fixture.engine.start();
  });

  afterEach(() => fixture.engine.stop());

  it("runs an item itself while it is not busy", async () => {
    fixture.busyShares[fixtures.LEADER] = fixtures.IDLE;
    fixture.answerWith(fixtures.formatEvents(1, 2));
    const run = fixture.startRun(fixture.createRunner());
    chai.expect(await fixture.awaitValue(run.ended)).to.deep.equal({
      kind: "finished",
    });
    chai.expect(fixture.worker.called).to.deep.equal([]);
  });

  it("gets the whole text, and what each event tells", async () => {
    fixture.answerWith(fixtures.formatEvents(1, 3));
    const events: itemRuns.RunEvent[] = [];
    const versions: number[] = [];
    const run = fixture.startRun(fixture.createRunner(), {
      onEvent: (event) => events.push(event),
      onVersion: (version) => versions.push(version),
    });
    chai.expect(await fixture.awaitValue(run.ended)).to.deep.equal({
      kind: "finished",
    });
    chai.expect(fixture.worker.called).to.deep.equal(["run.start"]);
    chai.expect(run.progress.getText()).to.equal("text-1\ntext-2\ntext-3");
    chai.expect(run.progress.listVersions()).to.deep.equal([3]);
    chai.expect(events.map(({ id }) => id)).to.deep.equal([1, 2, 3]);
    chai.expect(events.map(({ intervalMs }) => intervalMs === undefined))
      .to.deep.equal([true, false, false]);
    chai.expect(versions[0]).to.equal(3);
  });

  it("continues after the events that it holds", async () => {
    fixture.answerWith(fixtures.formatEvents(8, 9));
    const progress = new itemRuns.TextProgress();
    progress.restore({ text: "seven", lastId: 7, versions: [2] });
    const run = fixture.startRun(fixture.createRunner(), { progress });
    chai.expect(await fixture.awaitValue(run.ended)).to.deep.equal({
      kind: "finished",
    });
    chai.expect(fixture.requests[0]?.head).to.include("after: 7");
    chai.expect(progress.getText()).to.equal("seven\ntext-8\ntext-9");
    chai.expect(progress.listVersions()).to.deep.equal([2, 3]);
  });

  it("takes each event once although replies to reports are lost", async () => {
    fixture.leader.lostReplies = { "run.report": 2 };
    fixture.answerWith(fixtures.formatEvents(1, 3));
    const run = fixture.startRun(fixture.createRunner());
    chai.expect(await fixture.awaitValue(run.ended)).to.deep.equal({
      kind: "finished",
    });
    chai.expect(run.progress.getText()).to.equal("text-1\ntext-2\ntext-3");
  });

  it("tells how a run failed", async () => {
    fixture.engine.handle = ({ socket }) =>
      socket.write(rawServers.formatRawAnswer(500, { id: "item-1" }));
    const run = fixture.startRun(fixture.createRunner());
    chai.expect(await fixture.awaitValue(run.ended)).to.deep.equal({
      kind: "failed",
    });
  });

  it("discards a single-version text once another version runs", async () => {
    fixture.answerWith(fixtures.formatEvents(8, 9));
    const submission = {
      ...fixtures.SUBMISSION,
      id: "s-2",
      terms: { ...fixtures.SUBMISSION.terms, isSingleVersion: true },
    };
    fixture.machine.apply({ kind: "acceptSubmission", submission });
    const progress = new itemRuns.TextProgress();
    progress.restore({ text: "seven", lastId: 7, versions: [2] });
    const run = fixture.startRun(fixture.createRunner(), {
      submission: "s-2",
      isSingleVersion: true,
      progress,
    });
    chai.expect((await fixture.awaitValue(run.ended)).kind).to.equal("broken");
    chai.expect(progress.getText()).to.equal("");
    chai.expect(progress.countResets()).to.equal(1);
  });

  it("runs an item itself if the other box is busy or does not hold it", async () => {
    fixture.answerWith(fixtures.formatEvents(1, 1));
    fixture.busyShares[fixtures.WORKER] = fixtures.BUSY;
    chai.expect(
      (await fixture.awaitValue(fixture.startRun(fixture.createRunner()).ended))
        .kind,
    )
      .to.equal("finished");
    fixture.busyShares[fixtures.WORKER] = fixtures.IDLE;
    fixture.machine.apply({
      kind: "forgetSubmissions",
      ids: [fixtures.SUBMISSION.id],
    });
    chai.expect(
      (await fixture.awaitValue(fixture.startRun(fixture.createRunner()).ended))
        .kind,
    )
      .to.equal("finished");
    chai.expect(fixture.worker.called).to.deep.equal([
      "run.start",
      "run.start",
    ]);
    chai.expect(fixture.leader.called).to.deep.equal([]);
  });

  it("waits until the other box has applied the submission", async () => {
    fixture.answerWith(fixtures.formatEvents(1, 1));
    const submission = { ...fixtures.SUBMISSION, id: "s-4" };
    const run = fixture.startRun(fixture.createRunner(), {
      submission: submission.id,
    });
    await fixture.advanceUntil(() => fixture.worker.called.length === 1);
    fixture.machine.apply({ kind: "acceptSubmission", submission });
    chai.expect(await fixture.awaitValue(run.ended)).to.deep.equal({
      kind: "finished",
    });
    chai.expect(fixture.leader.called).to.include("run.report");
  });

  it("starts no run of an ended submission at another box", async () => {
    const { id, sender } = fixtures.SUBMISSION;
    fixture.machine.apply({ kind: "endSubmission", id, sender });
    fixture.answerWith(fixtures.formatEvents(1, 1));
    fixture.busyShares[fixtures.LEADER] = fixtures.BUSY;
    const run = fixture.startRun(fixture.createRunner());
    await fixture.awaitValue(run.ended);
    chai.expect(fixture.requests).to.have.length(1);
    chai.expect(fixture.leader.called).to.deep.equal([]);
  });

  it("closes the connection of a cancelled run", async () => {
    fixture.answerWith(fixtures.formatEvents(1, 1), false);
    const run = fixture.startRun(fixture.createRunner());
    await fixture.advanceUntil(() => run.progress.countLocalEvents() === 1);
    run.cancellation.cancel();
    chai.expect((await fixture.awaitValue(run.ended)).kind).to.equal("lost");
    const socket = fixture.requests[0]?.socket;
    await fixture.advanceUntil(() => socket?.readableEnded === true);
  });

  it("is lost, without blame, once the other box is silent", async () => {
    fixture.answerWith(fixtures.formatEvents(1, 1), false);
    const runner = fixture.createRunner();
    const run = fixture.startRun(runner);
    await fixture.advanceUntil(() => run.progress.countLocalEvents() === 1);
    // Its reports no longer arrive, and neither do calls to it.
    fixture.leader.isSilent = true;
    fixture.worker.isSilent = true;
    chai.expect(await fixture.awaitValue(run.ended)).to.deep.equal({
      kind: "lost",
      reason: "the box that ran it is silent",
    });
  });

  it("is cancelled at the other box once its leader is silent", async () => {
    fixture.answerWith(fixtures.formatEvents(1, 1), false);
    const run = fixture.startRun(fixture.createRunner());
    await fixture.advanceUntil(() => run.progress.countLocalEvents() === 1);
    fixture.leader.isSilent = true;
    const socket = fixture.requests[0]?.socket;
    await fixture.advanceUntil(() => socket?.readableEnded === true);
  });

  it("is cancelled at the other box if a new leader knows nothing of it", async () => {
    fixture.answerWith(fixtures.formatEvents(1, 1), false);
    const run = fixture.startRun(fixture.createRunner());
    await fixture.advanceUntil(() => run.progress.countLocalEvents() === 1);
    fixture.createRunner();
    const socket = fixture.requests[0]?.socket;
    await fixture.advanceUntil(() => socket?.readableEnded === true);
  });

  it("goes on elsewhere once the other box stops", async () => {
    fixture.answerWith(fixtures.formatEvents(1, 1), false);
    const run = fixture.startRun(fixture.createRunner());
    await fixture.advanceUntil(() => run.progress.countLocalEvents() === 1);
    fixture.runWorker.stop();
    chai.expect(await fixture.awaitValue(run.ended)).to.deep.equal({
      kind: "lost",
      reason: "the box that ran it stops",
    });
  });

  it("avoids for a while a box that does not know the method", async () => {
    fixture.worker = new fakeBoxes.FakeBox();
    fixture.answerWith(fixtures.formatEvents(1, 1));
    const runner = fixture.createRunner();
    chai.expect((await fixture.awaitValue(fixture.startRun(runner).ended)).kind)
      .to.equal("lost");
    chai.expect((await fixture.awaitValue(fixture.startRun(runner).ended)).kind)
      .to.equal("finished");
    chai.expect(
      fixture.worker.called.filter((method) => method === "run.start"),
    )
      .to.have.length(1);
  });
});
