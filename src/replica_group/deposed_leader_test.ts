import * as chai from "chai";
import * as simulatedCases from "./simulated_cases_test.ts";

/*
 * A leader that was deposed, and does not know it, must not replace the emptied
 * voter that elected its successor: the group then has two histories. One disk is
 * lost; the successor is without power for some seconds. The old leader was cut off
 * meanwhile: for 0.5 s while it waits long for followers that had stalled once
 * (patient), or for longer while its box was suspended.
 */

const CASES = 4;
const PATIENT_CASES = 6;
const START_DELAY_MS = 300;
const SETTLE_MS = 6_000;

/** Why the leader does not learn of its successor. */
type Cause = "suspended" | "patient";

/** Pauses that the followers of a patient leader have had, in ms. */
const PAUSE_MS = 780;

async function runCase(
  cause: Cause,
  offsetMs: number,
): Promise<string | undefined> {
  const cluster = await simulatedCases.createCluster({
    syncMs: 1,
    entries: 50,
    commandsPerS: 0,
  });
  try {
    await cluster.run(offsetMs);
    const { leader, followers } = simulatedCases.listRoles(cluster);
    if (cause === "suspended") cluster.get(leader).getProcess()?.suspend();
    else {
      for (const id of followers) {
        const process = cluster.get(id).getProcess();
        process?.pause();
        cluster.clock.startTimer(PAUSE_MS, () => process?.resume());
      }
      await cluster.run(PAUSE_MS + 20);
    }
    for (const id of followers) {
      cluster.cutLink(leader, id);
      cluster.cutLink(id, leader);
    }
    const isElected = await cluster.run(3_000, () => {
      const found = cluster.findLeader();
      return found !== undefined && found !== leader;
    });
    const successor = cluster.findLeader();
    if (!isElected || successor === undefined) return undefined;
    const before = cluster.countCommitted();
    cluster.commandsPerS = 1_000;
    await cluster.run(60, () => cluster.countCommitted() > before);
    cluster.commandsPerS = 0;
    const [emptied = ""] = followers.filter((id) => id !== successor);
    cluster.cutPower([successor]);
    cluster.cutPowerAndWipe(emptied);
    cluster.start([emptied], START_DELAY_MS);
    await cluster.run(cause === "suspended" ? START_DELAY_MS + 50 : 50);
    cluster.restoreLinks();
    if (cause === "suspended") cluster.get(leader).getProcess()?.wake();
    cluster.commandsPerS = 50;
    await cluster.run(3_000);
    cluster.commandsPerS = 0;
    cluster.start([successor]);
    await cluster.run(SETTLE_MS);
    const acknowledged = cluster.countCommitted() - before;
    const lost = simulatedCases.countLostCommands(cluster);
    if (acknowledged === 0 || lost === 0) return undefined;
    const changes = cluster.logRecords.filter(({ event, atMs }) =>
      event === "group.changing" && atMs > offsetMs
    ).map(({ atMs, id, fields }) =>
      `${atMs} ${id}: ${fields["voters"]} to ${fields["planned"]}`
    );
    return `offset ${offsetMs}: ${lost} of ${acknowledged} acknowledged ` +
      `commands of ${successor} lost; ${changes.join("; ")}`;
  } finally {
    cluster.close();
  }
}

describe("a leader that was deposed and does not know it", () => {
  for (const cause of ["suspended", "patient"] as const) {
  it(`does not replace the emptied voter that elected its successor: ${cause}`, async () => {
    const violations: string[] = [];
    const cases = cause === "patient" ? PATIENT_CASES : CASES;
    for (let at = 0; at < cases; at += 1) {
      const violation = await runCase(cause, at * 137);
      if (violation !== undefined) violations.push(violation);
    }
    chai.expect(violations, violations.join("\n")).to.deep.equal([]);
  });
  }
});
