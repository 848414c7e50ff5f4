import * as chai from "chai";
import * as randomSources from "../fixtures/random_source.ts";
import * as foundingRunners from "./founding_runner_test.ts";

/*
 * A late first seed founded a group a second time, alone, and so did a store that
 * asked the second seed once the first one was killed. Each group acknowledged what
 * the other never held.
 */

const DURATION_MS = 25_000;
/** Number of drawn schedules; a longer search is started by hand. */
const SCHEDULES = Number(process.env["HOISTSCALE_FOUNDINGS"] ?? 120);
const IDS = ["a", "b", "c", "d", "e"];
const SEEDS = ["a", "b", "c"];

function createBoxes(
  changes: Readonly<Record<string, object>> = {},
): readonly foundingRunners.SimulatedBox[] {
  return IDS.map((id) => ({ id, startMs: 0, ...changes[id] }));
}

async function simulateFounding(
  schedule: Partial<foundingRunners.FoundingSchedule>,
  seed = 1,
  durationMs = DURATION_MS,
): Promise<foundingRunners.FoundingResult> {
  const runner = new foundingRunners.FoundingRunner({
    boxes: createBoxes(),
    seeds: SEEDS,
    cuts: [],
    least: 3,
    ...schedule,
  }, new randomSources.RandomSource(seed));
  const told = await runner.run(durationMs);
  const ids = runner.groupIds.size;
  chai.expect(ids, `seed ${seed}`).to.equal(told.size === 0 ? 0 : 1);
  return told;
}

/** Draws starts, freezes, kills and cuts at any point of a first start. */
function drawSchedule(seed: number): foundingRunners.FoundingSchedule {
  const random = new randomSources.RandomSource(seed);
  function isChosen(percent: number): boolean {
    return random.drawInteger(1, 100) <= percent;
  }
  const boxes = IDS.map((id) => ({
    id,
    startMs: random.drawInteger(0, isChosen(20) ? 8_000 : 300),
    ...(isChosen(35)
      ? {
        freeze: {
          atMs: random.drawInteger(0, 6_000),
          forMs: random.drawInteger(200, 8_000),
        },
      }
      : {}),
    ...(isChosen(25) ? { killMs: random.drawInteger(300, 8_000) } : {}),
  }));
  const cuts = Array.from({ length: random.drawInteger(0, 4) }, () => {
    const fromMs = random.drawInteger(0, 6_000);
    return {
      between: [random.pick(IDS), random.pick(IDS)] as const,
      fromMs,
      untilMs: fromMs + random.drawInteger(200, 8_000),
    };
  });
  return { boxes, seeds: SEEDS, cuts, least: random.pick([3, 5]) };
}

/** Lists the boxes that must learn the voters: those kept, if enough are. */
function listBoxesToBeTold(
  { boxes, least }: foundingRunners.FoundingSchedule,
): readonly string[] {
  const kept = boxes
    .filter((box) => box.killMs === undefined)
    .map(({ id }) => id);
  const seeds = SEEDS.filter((seed) => kept.includes(seed));
  const canFound = seeds.length > SEEDS.length / 2 && kept.length > least / 2;
  return canFound ? kept : [];
}

describe("founding of a group beside faults", () => {
  it("tells all boxes the same voters within 3 s", async () => {
    const told = await simulateFounding({}, 1, 3_000);
    chai.expect([...told.keys()].toSorted()).to.deep.equal(IDS);
    chai.expect([...new Set(told.values())]).to.deep.equal(["a,b,c"]);
  });

  it("tells the others within 5 s if the first seed is frozen", async () => {
    const boxes = createBoxes({ a: { freeze: { atMs: 100, forMs: 6_000 } } });
    const told = await simulateFounding({ boxes }, 1, 5_000);
    chai.expect(told.size).to.be.at.least(IDS.length - 1);
  });

  // Guards against a late first seed that founds the group a second time, alone.
  it("tells a first seed that was frozen for 6 s the others' voters", async () => {
    const told = await simulateFounding({
      boxes: createBoxes({ a: { freeze: { atMs: 100, forMs: 6_000 } } }),
    });
    chai.expect([...told.keys()].toSorted()).to.deep.equal(IDS);
    chai.expect(new Set(told.values()).size).to.equal(1);
  });

  // Guards against a store that founds a group alone after a killed first seed.
  it("tells a frozen box the same voters after the first seed was killed", async () => {
    const told = await simulateFounding({
      boxes: createBoxes({
        a: { killMs: 2_200 },
        e: { freeze: { atMs: 50, forMs: 3_200 } },
      }),
    });
    chai.expect(told.get("e")).to.equal(told.get("b"));
    chai.expect(new Set(told.values()).size).to.equal(1);
  });

  it("names a majority of the expected boxes if others do not come", async () => {
    const boxes = createBoxes().slice(0, 2);
    const told = await simulateFounding({ boxes });
    chai.expect([...new Set(told.values())]).to.deep.equal(["a,b"]);
    const alone = await simulateFounding({ boxes: boxes.slice(0, 1) });
    chai.expect(alone.size).to.equal(0);
  });

  for (let first = 1; first <= SCHEDULES; first += 20) {
    const last = first + 19;
    it(`never names two sets of voters, schedules ${first} to ${last}`, async () => {
      for (let seed = first; seed <= last; seed += 1) {
        const schedule = drawSchedule(seed);
        const told = await simulateFounding(schedule, seed);
        const sets = new Set(told.values());
        chai.expect([...sets].length, `seed ${seed}`).to.be.at.most(1);
        for (const set of sets) {
          const { least } = schedule;
          const count = set.split(",").length;
          chai.expect(count, `seed ${seed}`).to.be.above(least / 2);
        }
        for (const id of listBoxesToBeTold(schedule)) {
          chai.expect(told.has(id), `seed ${seed}, box ${id}`).to.equal(true);
        }
      }
    });
  }
});
