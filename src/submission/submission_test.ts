import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as itemFixtures from "./item_fixture_test.ts";
import * as resultPages from "./build_result_page.ts";
import * as expiredSubmissions from "./find_expired_submissions.ts";
import type * as submissions from "./submission.ts";
import type * as commands from "./submission_command.ts";
import * as stateMachines from "./submission_state_machine.ts";

const TERMS: submissions.SubmissionTerms = {
  host: "a.example",
  service: "lm",
  attempts: 3,
  keepMs: 1_000,
  targetCompletionMs: 500,
  isSingleVersion: false,
};

function createSubmission(
  id: string,
  items: readonly string[],
): submissions.Submission {
  return {
    id,
    sender: { kind: "unasked" },
    model: "m",
    step: 0,
    minimumVersion: 1,
    desired: undefined,
    items: items.map((id) => itemFixtures.createItem(id)),
    terms: TERMS,
    acceptedAtMs: 0,
  };
}

function createResult(id: string, text: string): submissions.ItemResult {
  return { id, state: "completed", text, versions: [1], score: "s" };
}

function createMachine(): stateMachines.SubmissionStateMachine {
  const machine = new stateMachines.SubmissionStateMachine(() => {});
  machine.apply({
    kind: "acceptSubmission",
    submission: createSubmission("a", ["1", "2"]),
  });
  return machine;
}

function recordResult(
  machine: stateMachines.SubmissionStateMachine,
  result: submissions.ItemResult,
  keptLastId?: number,
): commands.SubmissionAnswer {
  return machine.apply({
    kind: "recordResults",
    results: [{ submission: "a", result, keptLastId }],
  });
}

function storeText(
  machine: stateMachines.SubmissionStateMachine,
  afterId: number | undefined,
  text: string,
  lastId: number,
): commands.SubmissionAnswer {
  return machine.apply({
    kind: "keepTexts",
    texts: [{
      submission: "a",
      item: "1",
      afterId,
      text,
      lastId,
      versions: [1],
    }],
  });
}

function listTexts(
  machine: stateMachines.SubmissionStateMachine,
): readonly string[] {
  return machine.get("a")?.results.map((result) => result.text) ?? [];
}

describe("submissions", () => {
  it("takes a submission once, however often it comes", () => {
    const machine = createMachine();
    recordResult(machine, createResult("1", "first"));
    machine.apply({
      kind: "acceptSubmission",
      submission: createSubmission("a", ["9"]),
    });
    chai.expect(machine.get("a")?.submission.items).to.have.length(2);
    chai.expect(listTexts(machine)).to.deep.equal(["first"]);
  });

  it("never moves or changes a result, and lists none after the end", () => {
    const machine = createMachine();
    recordResult(machine, createResult("2", "two"));
    recordResult(machine, createResult("2", "another"));
    recordResult(machine, createResult("1", "one"));
    chai.expect(listTexts(machine)).to.deep.equal(["two", "one"]);
    machine.apply({
      kind: "endSubmission",
      id: "a",
      sender: { kind: "unasked" },
    });
    recordResult(machine, createResult("3", "late"));
    chai.expect(listTexts(machine)).to.deep.equal(["two", "one"]);
  });

  it("says that it does not know what was never accepted", () => {
    const answer = createMachine().apply({
      kind: "endSubmission",
      id: "b",
      sender: { kind: "unasked" },
    });
    chai.expect(answer.isKnown).to.equal(false);
  });

  it("says when a text does not follow the part that is kept", () => {
    const machine = createMachine();
    chai.expect(storeText(machine, undefined, "a", 1).isKnown).to.equal(true);
    chai.expect(storeText(machine, 3, "d", 4).isKnown).to.equal(false);
    chai.expect(machine.get("a")?.storedTexts.get("1")?.lastId).to.equal(1);
    chai.expect(storeText(machine, undefined, "a\nb", 2).isKnown).to.equal(
      true,
    );
    chai.expect(machine.get("a")?.storedTexts.get("1")?.text).to.equal("a\nb");
  });

  it("joins a result with the part of its text that was kept", () => {
    const machine = createMachine();
    storeText(machine, undefined, "e1\ne2", 2);
    storeText(machine, 2, "e3", 3);
    storeText(machine, 2, "doubled", 3);
    recordResult(machine, createResult("1", "e4"), 3);
    chai.expect(listTexts(machine)).to.deep.equal(["e1\ne2\ne3\ne4"]);
  });

  it("refuses a result whose kept part is another, and lists nothing of it", () => {
    const machine = createMachine();
    storeText(machine, undefined, "e1\ne2", 2);
    const answer = recordResult(machine, createResult("1", "e4"), 3);
    chai.expect(answer.isKnown).to.equal(false);
    chai.expect(listTexts(machine)).to.deep.equal([]);
  });

  it("lets a text that begins anew replace what was kept of the old one", () => {
    const machine = createMachine();
    storeText(machine, undefined, "old1\nold2", 2);
    storeText(machine, undefined, "new1", 1);
    recordResult(machine, createResult("1", "new2"), 1);
    chai.expect(listTexts(machine)).to.deep.equal(["new1\nnew2"]);
  });

  it("finds the text of an item that comes again in a later submission", () => {
    const machine = createMachine();
    recordResult(machine, createResult("2", "whole"));
    storeText(machine, undefined, "e1", 1);
    machine.apply({
      kind: "endSubmission",
      id: "a",
      sender: { kind: "unasked" },
    });
    chai.expect(machine.findTexts("2")).to.deep.equal([
      { text: "whole", versions: [1], lastId: undefined },
    ]);
    chai.expect(machine.findTexts("1")).to.deep.equal([
      { text: "e1", versions: [1], lastId: 1 },
    ]);
    chai.expect(machine.findTexts("3")).to.deep.equal([]);
  });

  it("is the same after a snapshot at any point of any log", () => {
    const command = fastCheck.oneof(
      fastCheck.constantFrom("a", "b").map((id) => ({
        kind: "acceptSubmission" as const,
        submission: createSubmission(id, ["1", "2", "3"]),
      })),
      fastCheck.record({
        kind: fastCheck.constant("recordResults" as const),
        results: fastCheck.array(
          fastCheck.record({
            submission: fastCheck.constantFrom("a", "b"),
            result: fastCheck.tuple(
              fastCheck.constantFrom("1", "2", "3"),
              fastCheck.string(),
            ).map(([id, text]) => createResult(id, text)),
            keptLastId: fastCheck.constantFrom(undefined, 1, 2),
          }),
        ),
      }),
      fastCheck.tuple(
        fastCheck.constantFrom(undefined, 1),
        fastCheck.constantFrom(1, 2),
      ).map(([afterId, lastId]) => ({
        kind: "keepTexts" as const,
        texts: [{
          submission: "a",
          item: "1",
          afterId,
          text: "t",
          lastId,
          versions: [1],
        }],
      })),
      fastCheck.constantFrom("a", "b").map((id) => ({
        kind: "endSubmission" as const,
        sender: { kind: "unasked" } as const,
        id,
      })),
      fastCheck.integer({ min: 1, max: 9 }).map((version) => ({
        kind: "nameVersion" as const,
        model: "m",
        version,
      })),
    );
    fastCheck.assert(
      fastCheck.property(
        fastCheck.array(command, { maxLength: 30 }),
        fastCheck.nat(30),
        (commands, at) => {
          const straight = new stateMachines.SubmissionStateMachine(() => {});
          let restored = new stateMachines.SubmissionStateMachine(() => {});
          commands.forEach((item, index) => {
            straight.apply(item);
            restored.apply(item);
            if (index !== at) return;
            const saved = JSON.parse(JSON.stringify(restored.save()));
            restored = new stateMachines.SubmissionStateMachine(() => {});
            restored.restore(saved);
          });
          chai.expect(JSON.stringify(restored.save())).to.equal(
            JSON.stringify(straight.save()),
          );
          for (const item of straight.listAll()) {
            const ids = item.results.map((result) => result.id);
            chai.expect(new Set(ids).size).to.equal(ids.length);
          }
        },
      ),
      { seed: 7, numRuns: 300 },
    );
  });

  it("cuts pages that begin where the last one ended", () => {
    const machine = createMachine();
    const long = "x".repeat(600_000);
    recordResult(machine, createResult("1", long));
    recordResult(machine, createResult("2", long));
    const record = machine.get("a");
    if (record === undefined) throw new Error("it is not there");
    const first = resultPages.buildResultPage(record, 0);
    chai.expect([first.results.length, first.next, first.total]).to.deep.equal([
      1,
      1,
      2,
    ]);
    const second = resultPages.buildResultPage(record, first.next);
    chai.expect(second.results[0]?.id).to.equal("2");
    chai.expect(resultPages.buildResultPage(record, 2).results).to.deep.equal(
      [],
    );
  });

  it("forgets only what was promised for long enough", () => {
    const machine = createMachine();
    const times = {
      nowMs: 70_000,
      resultsKeepMs: 50_000,
      getKnownMs: () => 60_000,
    };
    function find(): readonly string[] {
      return expiredSubmissions.findExpiredSubmissions(
        machine.listAll(),
        times,
      );
    }
    chai.expect(find()).to.deep.equal(["a"]);
    chai.expect(
      expiredSubmissions.findExpiredSubmissions(machine.listAll(), {
        ...times,
        nowMs: 65_500,
      }),
    ).to.deep.equal([]);
    machine.apply({ kind: "forgetSubmissions", ids: find() });
    chai.expect(machine.get("a")).to.equal(undefined);
  });

  // A leader whose time of day was some minutes ahead forgot, for all boxes,
  // submissions that were accepted and ended a moment before: their age was the
  // difference between two boxes' clocks. They could not be read again.
  it("is not forgotten by a leader whose clock is ahead", () => {
    const machine = createMachine();
    const forgettable = expiredSubmissions.findExpiredSubmissions(
      machine.listAll(),
      {
        nowMs: 3_600_000,
        resultRetentionMs: 50_000,
        getAgeMs: () => 49_000,
      },
    );
    chai.expect(forgettable).to.deep.equal([]);
  });

  it("belongs to its account: any key of it will do, no other account's", () => {
    const machine = createMachine();
    const north = { kind: "account", name: "north", priority: 1 } as const;
    const south = { kind: "account", name: "south", priority: 1 } as const;
    const submission = { ...createSubmission("b", ["1"]), sender: north };
    function accept(sender: submissions.Submission["sender"]) {
      const command = { ...submission, sender };
      return machine.apply({ kind: "acceptSubmission", submission: command });
    }
    function end(sender: submissions.Submission["sender"]) {
      return machine.apply({ kind: "endSubmission", id: "b", sender });
    }
    chai.expect(accept(north)).to.deep.equal({ isKnown: true });
    chai.expect(accept(north)).to.deep.equal({ isKnown: true });
    chai.expect(accept(south)).to.deep.equal({ isKnown: false });
    chai.expect(end(south)).to.deep.equal({ isKnown: false });
    chai.expect(end({ kind: "anonymous" })).to.deep.equal({ isKnown: false });
    chai.expect(machine.get("b")?.isEnded).to.equal(false);
    chai.expect(end({ ...north, priority: 2 })).to.deep.equal({
      isKnown: true,
    });
    chai.expect(end(north)).to.deep.equal({ isKnown: true });
    const restored = createMachine();
    restored.restore(JSON.parse(JSON.stringify(machine.save())));
    chai.expect(restored.get("b")?.submission.sender).to.deep.equal(north);
  });
});
