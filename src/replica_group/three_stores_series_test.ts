import * as chai from "chai";
import * as seriesRunners from "./disk_series_runner_test.ts";

/*
 * Without a spare, an emptied voter must itself be brought up to date before the
 * next disk is lost. Guards against a transfer that takes longer than 5.1 s
 * with a third of a core.
 */

const LOSSES = 5;
const START_DELAY_MS = 300;

const SLOW_STORES = {
  ids: ["a", "b", "c"],
  processorShare: 1 / 3,
  syncMs: 5,
  commandsPerS: 20,
  entryMs: 0.7,
  losses: LOSSES,
  startDelayMs: START_DELAY_MS,
};

/** Numbers of entries and their bytes, by the way in which they are sent. */
const LOGS = [
  ["as entries", 900, 1_024],
  ["as a snapshot and entries", 2_500, 32 * 1_024],
] as const;

describe("three stores that lose one disk after the other", () => {
  for (const [name, entries, commandBytes] of LOGS) {
    for (const choice of ["leader", "turn"] as const) {
      it(`bear each loss, log sent ${name}: ${choice}`, async () => {
        const { violation, events } = await seriesRunners.runSeries({
          ...SLOW_STORES,
          entries,
          commandBytes,
          choice,
        });
        const summary = [violation, ...events].join("\n");
        chai.expect(violation, summary).to.equal(undefined);
      });
    }
  }
});
