import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as registry from "../registry/mod.ts";
import * as serverFixtures from "../fixtures/create_server.ts";
import * as chooseEngine from "./choose_engine.ts";
import * as engineTables from "./engine_table.ts";
import type * as itemTasks from "./item_task.ts";
import * as lengthEstimators from "./length_estimator.ts";
import * as orderTasks from "./order_tasks.ts";
import * as placementRounds from "./placement_round.ts";
import * as runMovers from "./run_mover.ts";
import * as taskFixtures from "./task_fixture_test.ts";
import * as csp from "../csp/mod.ts";

function createEngine(id: string, version = 1): registry.RegisteredServer {
  return serverFixtures.createServer(id, {
    slots: 4,
    models: [{ name: "m", version }],
  });
}

describe("dispatch", () => {
  const clock = new clocks.FakeClock();
  const lengths = new lengthEstimators.LengthEstimator();
  let table = new engineTables.EngineTable(clock);
  const requirements = {
    model: "m",
    minimumVersion: 2,
    avoided: new Set<string>(),
  };

  beforeEach(() => {
    table = new engineTables.EngineTable(clock);
  });

  function choose(
    engines: readonly registry.RegisteredServer[],
    avoided: readonly string[] = [],
  ): string | undefined {
    const candidates = engines.filter((engine) =>
      chooseEngine.canAccept(engine, table, requirements)
    ).map((engine) => chooseEngine.createCandidate(engine, table));
    return chooseEngine.pickEngine(candidates, new Set(avoided))?.engine.id;
  }

  function order(
    tasks: readonly itemTasks.ItemTask[],
    intervalMs: number,
  ): readonly string[] {
    return orderTasks.orderTasks(tasks, lengths, intervalMs)
      .map((task) => task.item.id);
  }

  it("picks only engines whose weights are recent enough", () => {
    chai.expect(choose([createEngine("old", 1)])).to.equal(undefined);
    chai.expect(choose([createEngine("old", 1), createEngine("new", 2)])).to
      .equal("new");
    table.advanceVersion("old", "m", 2);
    chai.expect(choose([createEngine("old", 1)])).to.equal("old");
  });

  it("uses the version in an engine's response even if it is older", () => {
    table.advanceVersion("a", "m", 2);
    chai.expect(choose([createEngine("a", 1)])).to.equal("a");
    table.setVersion("a", "m", 1);
    chai.expect(choose([createEngine("a", 1)])).to.equal(undefined);
  });

  it("picks no engine that is full, loads the model, or just broke a run", () => {
    const engines = [createEngine("a", 2), createEngine("b", 2)];
    table.setLoadingModel("a", "m");
    chai.expect(choose(engines)).to.equal("b");
    for (let run = 0; run < 4; run += 1) table.addRun("b");
    chai.expect(choose(engines)).to.equal(undefined);
    table.setLoadingModel("a", "another");
    chai.expect(choose(engines)).to.equal("a");
    table.avoid("a");
    chai.expect(choose(engines)).to.equal(undefined);
  });

  it("prefers fast engines until their load is much higher", () => {
    const engines = [createEngine("slow", 2), createEngine("fast", 2)];
    for (let event = 0; event < 200; event += 1) {
      table.recordInterval(createEngine("slow"), 60);
      table.recordInterval(createEngine("fast"), 40);
    }
    const taken = [0, 1, 2, 3, 4].map(() => {
      const id = choose(engines) ?? "";
      table.addRun(id);
      return id;
    });
    chai.expect(taken.slice(0, 2)).to.deep.equal(["fast", "fast"]);
    chai.expect(taken).to.contain("slow");
  });

  it("prefers engines without broken runs until their load is much higher", () => {
    const engines = [createEngine("breaking", 2), createEngine("sound", 2)];
    for (let run = 0; run < 3; run += 1) {
      table.recordRunResult("breaking", false);
    }
    table.addRun("sound");
    chai.expect(choose(engines)).to.equal("sound");
    for (let run = 0; run < 3; run += 1) table.addRun("sound");
    chai.expect(choose(engines)).to.equal("breaking");
  });

  it("returns to an engine that failed the item only when there is no other", () => {
    const engines = [createEngine("a", 2), createEngine("b", 2)];
    chai.expect(choose(engines, ["a"])).to.equal("b");
    chai.expect(choose(engines, ["a", "b"])).to.equal("a");
  });

  it("orders items longest first, and equally long ones by due time", () => {
    const tasks = [
      taskFixtures.createTask("late", { acceptedAtMs: 50 }, 10_000),
      taskFixtures.createTask("short", {}, 1_000),
      taskFixtures.createTask("long", {}, 10_000),
    ];
    chai.expect(order(tasks, 1)).to.deep.equal(["long", "late", "short"]);
    chai.expect(order(tasks, 0)).to.deep.equal(["short", "long", "late"]);
  });

  it("orders long items of a later submission before short ones that can wait", () => {
    const tasks = [
      taskFixtures.createTask("early and short", { acceptedAtMs: 0 }, 500),
      taskFixtures.createTask("late and long", { acceptedAtMs: 4_000 }, 9_000),
    ];
    chai.expect(order(tasks, 40)).to.deep.equal([
      "late and long",
      "early and short",
    ]);
    chai.expect(order(tasks, 10)).to.deep.equal([
      "early and short",
      "late and long",
    ]);
  });

  it("gives up an item after the number of attempts of its route", () => {
    const task = taskFixtures.createTask("a");
    chai.expect([task.recordFailure(), task.recordFailure()]).to.deep.equal([
      false,
      true,
    ]);
  });

  it("restores a stored text only if the submission accepts its versions", () => {
    const texts = [
      { text: "old", versions: [1], lastId: undefined },
      { text: "part", versions: [2, 3], lastId: 4 },
    ];
    const task = taskFixtures.createTask("a", { minimumVersion: 2 });
    task.restore(texts, false);
    chai.expect(task.progress.getLastId()).to.equal(4);
    chai.expect(task.progress.getStoredLastId()).to.equal(undefined);
    const whole = taskFixtures.createTask("a", { minimumVersion: 1 });
    whole.restore(texts, false);
    chai.expect(whole.phase).to.equal("scoring");
    const none = taskFixtures.createTask("a", { minimumVersion: 3 });
    none.restore(texts, false);
    chai.expect(none.progress.countLocalEvents()).to.equal(0);
  });

  describe("placement round", () => {
    const engines = [createEngine("a", 2), createEngine("b", 1)];
    let lists = 0;

    function createRound(): placementRounds.PlacementRound {
      lists = 0;
      return new placementRounds.PlacementRound({
        engines: table,
        servers: {
          listReady: () => {
            lists += 1;
            return engines;
          },
        },
      });
    }

    it("fills each slot once and lists the engines once", () => {
      const round = createRound();
      const chosen = Array.from({ length: 12 }, () => {
        const id = round.reserveSlot("lm", {
          ...requirements,
          minimumVersion: 1,
        })?.id;
        if (id !== undefined) table.addRun(id);
        return id;
      });
      chai.expect(chosen.filter((id) => id === "a").length).to.equal(4);
      chai.expect(chosen.filter((id) => id === "b").length).to.equal(4);
      chai.expect(chosen.slice(8)).to.deep.equal(
        [undefined, undefined, undefined, undefined],
      );
      chai.expect(lists).to.equal(1);
    });

    it("serves other requirements after one finds no engine", () => {
      const round = createRound();
      for (let run = 0; run < 4; run += 1) table.addRun("a");
      chai.expect(round.reserveSlot("lm", requirements)).to.equal(undefined);
      chai.expect(
        round.reserveSlot("lm", { ...requirements, minimumVersion: 1 })?.id,
      ).to
        .equal("b");
      chai.expect(round.hasFreeSlot("lm")).to.equal(true);
    });

    it("has no free slot while all engines are full", () => {
      for (let run = 0; run < 4; run += 1) {
        table.addRun("a");
        table.addRun("b");
      }
      chai.expect(createRound().hasFreeSlot("lm")).to.equal(false);
    });
  });

  describe("run mover", () => {
    const engines = ["a", "b", "c"].map((id) => createEngine(id, 2));

    function createRunning(engine: string, count: number) {
      return Array.from({ length: count }, (_, index) => {
        const task = taskFixtures.createTask(`${engine}${index}`);
        task.run = {
          engine,
          cancellation: new csp.Cancellation(),
          startedAtMs: Number.NEGATIVE_INFINITY,
        };
        table.addRun(engine);
        return task;
      });
    }

    function countMoved(tasks: readonly itemTasks.ItemTask[]): number {
      return tasks.filter((task) => task.run?.cancellation.isCancelled())
        .length;
    }

    function createMover(): runMovers.RunMover {
      return new runMovers.RunMover({
        clock,
        log: { write: () => {} } as unknown as logs.Log,
        servers: { listReady: () => engines },
        engines: table,
        lengths,
      });
    }

    it("moves runs off a loading engine into free slots, minus the reserve", () => {
      const tasks = [
        ...createRunning("a", 4),
        ...createRunning("b", 3),
        ...createRunning("c", 2),
      ];
      table.setLoadingModel("a", "m");
      createMover().moveFromLoadingEngine(tasks, createEngine("a"), "m");
      chai.expect(countMoved(tasks)).to.equal(1);
      chai.expect(countMoved(tasks.slice(4))).to.equal(0);
    });

    it("moves runs off a slow engine, and none while all are equally fast", () => {
      const tasks = [...createRunning("a", 1), ...createRunning("b", 1)];
      for (let event = 0; event < 200; event += 1) {
        for (const engine of engines) table.recordInterval(engine, 40);
      }
      createMover().moveToFasterEngines(tasks);
      chai.expect(countMoved(tasks)).to.equal(0);
      for (let event = 0; event < 200; event += 1) {
        table.recordInterval(createEngine("a"), 120);
      }
      clock.advance(100);
      createMover().moveToFasterEngines(tasks);
      chai.expect(countMoved(tasks.slice(0, 1))).to.equal(1);
      chai.expect(countMoved(tasks.slice(1))).to.equal(0);
    });
  });
});
