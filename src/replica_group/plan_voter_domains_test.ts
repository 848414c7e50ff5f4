import * as chai from "chai";
import * as consensus from "../consensus/mod.ts";
import * as planVoters from "./plan_voters.ts";

/*
 * Replays plans until nothing changes: all learners catch up between two plans.
 */

interface Fleet {
  /** Failure domain by box. */
  readonly domains: Readonly<Record<string, string>>;
  readonly minVoters: number;
}

interface Settled {
  readonly voters: readonly string[];
  /** Number of changes; -1 if they do not end. */
  readonly changes: number;
}

const MAX_PLANS = 200;

/** Plans from a moment at which a voter has come back without its disk. */
function settle(
  fleet: Fleet,
  initial: readonly string[],
  emptied: readonly string[],
): Settled {
  const ids = Object.keys(fleet.domains);
  let voters = initial;
  let voteless: readonly string[] = [];
  let learners: readonly string[] = [];
  let changes = 0;
  let quietPlans = 0;
  for (let plan = 0; plan < MAX_PLANS; plan += 1) {
    // The first plan chooses the standbys, before the loss.
    if (plan === 1) voteless = emptied;
    const followers = [...new Set([...voters, ...learners])]
      .filter((id) => id !== "a")
      .map((id): consensus.FollowerStatus => ({
        id,
        matchIndex: voteless.includes(id) ? 0 : 100,
        silentMs: 10,
        isAdmitted: !voteless.includes(id),
        isVoteless: voteless.includes(id),
      }));
    const input: planVoters.VoterPlanInput = {
      self: "a",
      voters,
      wanted: planVoters.countTargetVoters(
        fleet.minVoters,
        fleet.minVoters,
        ids.length,
      ),
      minVoters: fleet.minVoters,
      standbys: Math.floor(fleet.minVoters / 2),
      commitIndex: 100,
      leadershipMs: 60_000,
      followers,
      candidates: ids,
      failureDomains: new Map(Object.entries(fleet.domains)),
      retiring: [],
      failureTimeoutMs: 2_000,
    };
    learners = planVoters.chooseLearners(input);
    const planned = planVoters.planVoters(input);
    if (planned === undefined) quietPlans += 1;
    else {
      voters = planned;
      changes += 1;
      quietPlans = 0;
    }
    // The emptied boxes that are fed are admitted after some plans.
    if (plan > 20) {
      voteless = voteless.filter((id) =>
        !voters.includes(id) && !learners.includes(id)
      );
    }
    if (quietPlans > 40) return { voters, changes };
  }
  return { voters, changes: -1 };
}

describe("voters after a lost disk", () => {
  it("come to rest for 3 to 30 stores", () => {
    for (const minVoters of [3, 5]) {
      for (const count of [3, 4, 5, 8, 13, 30]) {
        if (count < minVoters) continue;
        const ids = Array.from(
          { length: count },
          (_, at) => at === 0 ? "a" : `s${at}`,
        );
        const domains = Object.fromEntries(ids.map((id) => [id, id]));
        const initial = ids.slice(0, minVoters);
        const { changes, voters } = settle(
          { domains, minVoters },
          initial,
          initial.slice(1, 1 + Math.floor(minVoters / 2)),
        );
        chai.expect(changes, `${count} stores`).to.be.at.least(0);
        chai.expect(voters.length).to.equal(minVoters);
      }
    }
  });

  it("are again spread over all failure domains", () => {
    const domains = {
      a: "zone 1",
      b: "zone 2",
      c: "zone 3",
      d: "zone 1",
      e: "zone 2",
      f: "zone 3",
    };
    const fleet = { domains, minVoters: 3 };
    for (const emptied of ["b", "c"]) {
      const { voters } = settle(fleet, ["a", "b", "c"], [emptied]);
      const zones = new Set(
        voters.map((id) => domains[id as keyof typeof domains]),
      );
      chai.expect(zones.size, `${emptied}: ${voters.join()}`).to.equal(3);
    }
  });
});

describe("a voter that lost its disk and was sent a message that may admit it", () => {
  it("is replaced if it falls far behind instead", () => {
    const follower = {
      matchIndex: 2_000,
      silentMs: 10,
      isAdmitted: true,
      isVoteless: false,
    };
    const planned = planVoters.planVoters({
      self: "a",
      voters: ["a", "b", "c"],
      wanted: 3,
      minVoters: 3,
      standbys: 1,
      commitIndex: 2_000,
      leadershipMs: 60_000,
      followers: [
        { ...follower, id: "b", matchIndex: 500, isAdmitted: false },
        { ...follower, id: "c" },
        { ...follower, id: "d" },
      ],
      candidates: ["a", "b", "c", "d"],
      failureDomains: new Map([..."abcd"].map((id) => [id, id])),
      retiring: [],
      failureTimeoutMs: 2_000,
    });
    chai.expect(planned).to.deep.equal(["a", "b", "c", "d"]);
  });
});
