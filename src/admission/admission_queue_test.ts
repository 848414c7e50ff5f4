import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as admissionQueues from "./admission_queue.ts";

const NOW_MS = 1_000;
const LATE_MS = 10_000;

function createRequest(
  id: string,
  changes: Partial<admissionQueues.QueuedRequest> = {},
): admissionQueues.QueuedRequest {
  return {
    id,
    priority: 0,
    targetAtMs: NOW_MS + 100,
    deadlineAtMs: LATE_MS,
    ...changes,
  };
}

function dequeueAll(
  queue: admissionQueues.AdmissionQueue,
  nowMs: number,
): readonly string[] {
  const taken: string[] = [];
  for (;;) {
    const id = queue.dequeue(nowMs);
    if (id === undefined) return taken;
    taken.push(id);
  }
}

describe("waiting line", () => {
  let queue = new admissionQueues.AdmissionQueue();

  beforeEach(() => {
    queue = new admissionQueues.AdmissionQueue();
  });

  it("gives places to urgent kinds first, then to those with least time left", () => {
    const requests = [
      createRequest("slack", { targetAtMs: NOW_MS + 300 }),
      createRequest("tight", { targetAtMs: NOW_MS + 50 }),
      createRequest("low", { priority: 2, targetAtMs: NOW_MS + 10 }),
    ];
    for (const request of requests) queue.enqueue(request, NOW_MS);
    chai.expect(dequeueAll(queue, NOW_MS)).to.deep.equal([
      "tight",
      "slack",
      "low",
    ]);
  });

  it("lets late ones wait behind those that can still be in time, newest first", () => {
    const requests = [
      createRequest("older", { targetAtMs: NOW_MS - 200 }),
      createRequest("old", { targetAtMs: NOW_MS - 100 }),
      createRequest("inTime"),
    ];
    for (const request of requests) queue.enqueue(request, NOW_MS);
    chai.expect(dequeueAll(queue, NOW_MS)).to.deep.equal([
      "inTime",
      "old",
      "older",
    ]);
  });

  it("refuses at once whose turn would come too late", () => {
    for (let at = 0; at < 1_000; at += 100) queue.recordFreedSlot(at);
    const deadlineAtMs = NOW_MS + 350;
    const kinds = ["a", "b", "c", "d", "e"].map((id) =>
      queue.enqueue(createRequest(id, { deadlineAtMs: deadlineAtMs }), NOW_MS)
        .kind
    );
    chai.expect(kinds.slice(0, 2)).to.deep.equal(["waiting", "waiting"]);
    chai.expect(kinds.at(-1)).to.equal("refused");
  });

  it("follows within two seconds when places come free more often", () => {
    const deadlineAtMs = 60_000;
    for (let at = 0; at <= 2_000; at += 400) queue.recordFreedSlot(at);
    for (let at = 2_000; at <= 4_000; at += 10) queue.recordFreedSlot(at);
    const kinds = Array.from(
      { length: 50 },
      (_, index) =>
        queue.enqueue(
          createRequest(`${index}`, { deadlineAtMs: 4_000 + 1_000 }),
          4_000,
        ).kind,
    );
    chai.expect(kinds).to.not.include("refused");
    chai.expect(
      queue.enqueue(createRequest("x", { deadlineAtMs: deadlineAtMs }), 4_000)
        .kind,
    ).to
      .equal("waiting");
  });

  it("tells those that it refuses together to come back one after the other", () => {
    for (let at = NOW_MS - 5_000; at < NOW_MS; at += 50) {
      queue.recordFreedSlot(at);
    }
    const delaysMs = Array.from(
      { length: 5 },
      () => queue.scheduleRetry(NOW_MS),
    );
    const gaps = delaysMs.slice(1).map((ms, index) => ms - delaysMs[index]!);
    for (const gap of gaps) chai.expect(gap).to.be.within(40, 80);
    chai.expect(delaysMs[0]).to.be.greaterThan(0);
  });

  it("names a bounded time to come back, however many are refused", () => {
    const delaysMs = Array.from(
      { length: 5_000 },
      () => queue.scheduleRetry(NOW_MS),
    );
    chai.expect(Math.max(...delaysMs)).to.be.at.most(1_000);
  });

  it("bounds how many wait", () => {
    const kinds = Array.from(
      { length: 600 },
      (_, index) => queue.enqueue(createRequest(`${index}`), NOW_MS).kind,
    );
    chai.expect(kinds.filter((kind) => kind === "waiting").length).to.equal(
      512,
    );
  });

  it("loses nobody, answers nobody twice, and keeps nobody past its time", () => {
    const step = fastCheck.oneof(
      fastCheck.record({
        kind: fastCheck.constant("enter" as const),
        priority: fastCheck.integer({ min: 0, max: 3 }),
        targetMs: fastCheck.integer({ min: 0, max: 400 }),
        patienceMs: fastCheck.integer({ min: 1, max: 800 }),
      }),
      fastCheck.constant({ kind: "free" as const }),
      fastCheck.constant({ kind: "expire" as const }),
      fastCheck.constant({ kind: "leave" as const }),
    );
    fastCheck.assert(
      fastCheck.property(fastCheck.array(step, { maxLength: 200 }), (steps) => {
        const testedQueue = new admissionQueues.AdmissionQueue();
        const waiting = new Map<string, admissionQueues.QueuedRequest>();
        let nowMs = 0;
        for (const [index, entry] of steps.entries()) {
          nowMs += 10;
          switch (entry.kind) {
            case "enter": {
              const request = createRequest(`${index}`, {
                priority: entry.priority,
                targetAtMs: nowMs + entry.targetMs,
                deadlineAtMs: nowMs + entry.patienceMs,
              });
              const { kind } = testedQueue.enqueue(request, nowMs);
              if (kind === "waiting") waiting.set(request.id, request);
              break;
            }
            case "free": {
              testedQueue.recordFreedSlot(nowMs);
              const id = testedQueue.dequeue(nowMs);
              const best = Math.min(
                ...[...waiting.values()].map((other) => other.priority),
              );
              if (id === undefined) {
                chai.expect(waiting.size).to.equal(0);
                break;
              }
              chai.expect(waiting.get(id)?.priority).to.equal(best);
              waiting.delete(id);
              break;
            }
            case "expire":
              for (
                const { id, retryAfterMs: returnMs } of testedQueue
                  .removeExpired(nowMs)
              ) {
                chai.expect(waiting.delete(id)).to.equal(true);
                chai.expect(returnMs).to.be.within(1, 1_000);
              }
              for (const request of waiting.values()) {
                chai.expect(request.deadlineAtMs).to.be.greaterThan(nowMs);
              }
              break;
            case "leave": {
              const [first] = waiting.keys();
              if (first === undefined) break;
              testedQueue.remove(first);
              waiting.delete(first);
              break;
            }
          }
          chai.expect(testedQueue.count()).to.equal(waiting.size);
        }
      }),
      { seed: 20, numRuns: 300 },
    );
  });
});
