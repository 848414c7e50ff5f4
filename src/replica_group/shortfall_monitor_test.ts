import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import type * as consensus from "../consensus/mod.ts";
import * as logs from "../log/mod.ts";
import type * as planVoters from "./plan_voters.ts";
import * as shortfallMonitors from "./_shortfall_monitor.ts";

const TICK_MS = 100;

const HEALTH: consensus.ReplicaHealth = {
  role: "leader",
  term: 7,
  leader: "a",
  hasAuthority: true,
  isAdmitted: true,
  isInSet: true,
  set: { voters: ["a", "b", "c"], index: 4, isCommitted: true },
  lastIndex: 900,
  leaderlessMs: 0,
  writingMs: 0,
  followers: { presentVoters: 3, quorum: 2, fedMs: 0 },
};

const WHOLE: planVoters.VoterPlanInput = {
  self: "a",
  voters: ["a", "b", "c"],
  wanted: 3,
  minVoters: 3,
  standbys: 1,
  commitIndex: 900,
  leadershipMs: 60_000,
  followers: ["b", "c"].map((id) => ({
    id,
    matchIndex: 900,
    silentMs: 40,
    isAdmitted: true,
    isReplaceable: false,
  })),
  candidates: ["a", "b", "c"],
  failureDomains: new Map(),
  retiring: [],
  failureTimeoutMs: 2_000,
};

const SHORT: planVoters.VoterPlanInput = {
  ...WHOLE,
  followers: [
    {
      id: "b",
      matchIndex: 870,
      silentMs: 40,
      isAdmitted: false,
      isReplaceable: true,
    },
    {
      id: "c",
      matchIndex: 900,
      silentMs: 40,
      isAdmitted: true,
      isReplaceable: false,
    },
    {
      id: "d",
      matchIndex: 32,
      silentMs: 70,
      isAdmitted: false,
      isReplaceable: true,
    },
  ],
  candidates: ["a", "b", "c", "d"],
};

const WHOLE_FIELDS = "lossesLeft=1 counted=a,b,c voters=a,b,c";
const SHORT_FIELDS =
  "waitsFor=b:notAdmitted:lag30,d:learner:lag868:silent70ms " +
  "lossesLeft=0 counted=a,c voters=a,b,c";

describe("shortfall monitor", () => {
  let clock = new clocks.FakeClock(50_000);
  let lines: string[] = [];
  let monitor = createMonitor();

  function createMonitor(): shortfallMonitors.ShortfallMonitor {
    return new shortfallMonitors.ShortfallMonitor({
      name: "stores",
      clock,
      log: new logs.Log("box", "info", (line) => lines.push(line)),
      minVoters: 3,
    });
  }

  beforeEach(() => {
    clock = new clocks.FakeClock(50_000);
    lines = [];
    monitor = createMonitor();
  });

  /** Observes each 100 ms for a time; returns the last time short, in ms. */
  function observe(
    durationMs: number,
    plan: planVoters.VoterPlanInput | undefined,
    changes: Partial<consensus.ReplicaHealth> = {},
  ): number | undefined {
    let shortMs: number | undefined;
    for (let ms = 0; ms < durationMs; ms += TICK_MS) {
      clock.advance(TICK_MS);
      shortMs = monitor.observe({ ...HEALTH, ...changes }, plan);
    }
    return shortMs;
  }

  /** Observes as a follower, which has no plan. */
  function observeFollower(durationMs: number): number | undefined {
    return observe(durationMs, undefined, {
      role: "follower",
      term: 8,
      hasAuthority: false,
    });
  }

  /** Takes the lines so far, without time and box. */
  function takeLines(): readonly string[] {
    const taken = lines.map((line) =>
      line.replace(/^time=\S+ /, "").replace(" box=box group=stores", "").trim()
    );
    lines = [];
    return taken;
  }

  it("logs once that a leadership begins with a whole group", () => {
    chai.expect(observe(5_000, WHOLE)).to.equal(0);
    chai.expect(takeLines()).to.deep.equal([
      `level=info event=group.whole shortMs=0 ${WHOLE_FIELDS} term=7`,
    ]);
    chai.expect(observe(5_000, WHOLE, { term: 9 })).to.equal(0);
    chai.expect(takeLines()).to.deep.equal([
      `level=info event=group.whole shortMs=0 ${WHOLE_FIELDS} term=9`,
    ]);
  });

  it("logs when a group becomes short, each second after, and when it is whole", () => {
    observe(1_000, WHOLE);
    takeLines();
    chai.expect(observe(2_600, SHORT)).to.equal(2_500);
    chai.expect(takeLines()).to.deep.equal([
      `level=warn event=group.short sinceMs=0 ${SHORT_FIELDS} term=7`,
      `level=warn event=group.short sinceMs=1000 ${SHORT_FIELDS} term=7`,
      `level=warn event=group.short sinceMs=2000 ${SHORT_FIELDS} term=7`,
    ]);
    chai.expect(observe(2_000, WHOLE)).to.equal(0);
    chai.expect(takeLines()).to.deep.equal([
      `level=info event=group.whole shortMs=2600 ${WHOLE_FIELDS} term=7`,
    ]);
  });

  it("names all that a group waits for", () => {
    const plan: planVoters.VoterPlanInput = {
      ...WHOLE,
      voters: ["a", "b", "c", "d"],
      wanted: 5,
      candidates: ["a", "d", "e"],
      followers: [
        {
          id: "b",
          matchIndex: 10,
          silentMs: 1_400,
          isAdmitted: true,
          isReplaceable: false,
        },
        {
          id: "c",
          matchIndex: 0,
          silentMs: Infinity,
          isAdmitted: false,
          isReplaceable: true,
        },
        {
          id: "d",
          matchIndex: 900,
          silentMs: 10,
          isAdmitted: true,
          isReplaceable: false,
        },
      ],
    };
    observe(TICK_MS, plan, { set: { ...HEALTH.set, isCommitted: false } });
    chai.expect(takeLines()[0]).to.contain(
      " waitsFor=change,b:silent1400ms,c:unheard,e:spare,noBox lossesLeft=-1 ",
    );
  });

  it("logs at most one line per second that a group is short if it alternates", () => {
    observe(1_000, WHOLE);
    takeLines();
    const durationMs = 10_000;
    for (let ms = 0; ms < durationMs; ms += 2 * TICK_MS) {
      observe(TICK_MS, SHORT);
      chai.expect(observe(TICK_MS, WHOLE)).to.equal(0);
    }
    const logged = takeLines();
    const short = logged.filter((line) => line.includes("group.short"));
    const whole = logged.filter((line) => line.includes("group.whole"));
    chai.expect(short).to.have.length(durationMs / 1_000);
    chai.expect(whole).to.have.length(short.length);
    chai.expect(logged.at(-1)).to.contain("event=group.whole");
  });

  it("goes on with the time of an earlier leadership if that was recent", () => {
    observe(2_000, SHORT);
    takeLines();
    chai.expect(observeFollower(2_900)).to.equal(4_800);
    chai.expect(takeLines()).to.deep.equal([]);
    chai.expect(observe(TICK_MS, SHORT, { term: 9 })).to.equal(4_900);
    chai.expect(takeLines()).to.deep.equal([
      `level=warn event=group.short sinceMs=4900 ${SHORT_FIELDS} term=9`,
    ]);
  });

  it("begins anew if the earlier leadership was long ago", () => {
    observe(2_000, SHORT);
    chai.expect(observeFollower(3_100)).to.equal(undefined);
    takeLines();
    chai.expect(observe(TICK_MS, SHORT, { term: 9 })).to.equal(0);
    chai.expect(takeLines()).to.deep.equal([
      `level=warn event=group.short sinceMs=0 ${SHORT_FIELDS} term=9`,
    ]);
  });

  it("logs that a group became whole under another leader", () => {
    observe(2_000, SHORT);
    observeFollower(1_000);
    takeLines();
    observe(TICK_MS, WHOLE, { term: 9 });
    chai.expect(takeLines()).to.deep.equal([
      `level=info event=group.whole shortMs=3000 ${WHOLE_FIELDS} term=9`,
    ]);
  });

  it("goes on while a leader has no authority, without judging the group", () => {
    observe(1_000, SHORT);
    takeLines();
    const changes = { hasAuthority: false };
    chai.expect(observe(9_000, undefined, changes)).to.equal(9_900);
    chai.expect(takeLines()).to.deep.equal([]);
    chai.expect(observe(TICK_MS, SHORT)).to.equal(10_000);
    chai.expect(takeLines()).to.deep.equal([
      `level=warn event=group.short sinceMs=10000 ${SHORT_FIELDS} term=7`,
    ]);
  });

  it("knows nothing before the first leadership with authority", () => {
    chai.expect(observeFollower(5_000)).to.equal(undefined);
    const changes = { hasAuthority: false, term: 9 };
    chai.expect(observe(5_000, undefined, changes)).to.equal(undefined);
    chai.expect(takeLines()).to.deep.equal([]);
  });
});
