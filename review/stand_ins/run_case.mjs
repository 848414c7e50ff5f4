// Runs one case: starts the fleet, plays the case, and turns its verdict into an exit code.
import { Fleet } from "./fleet.mjs";
import { Record } from "./record.mjs";

const BROKEN = 1;
const HELD = 0;
const NOT_RUN = 2;
/** Longest run of a case, in ms. */
const MAX_RUN_MS = 112_000;

/** A reason for which a case could not be played. */
export class NotRunError extends Error {}

/**
 * Plays a case.
 *
 * @param options `recordFile`, options of the fleet, and `play`, which gets the fleet, the
 * record and whether to disturb, and returns a list of breaches of the rule.
 */
export async function runCase({ recordFile, fleetOptions, play }) {
  const record = new Record(recordFile);
  const isDisturbed = process.env.TROUBLE !== "0";
  record.write("case starts", { isDisturbed });
  const fleet = new Fleet(record, fleetOptions);
  let code = NOT_RUN;
  const watchdog = setTimeout(async () => {
    record.write("the case took too long");
    await fleet.stopAll();
    process.exit(NOT_RUN);
  }, MAX_RUN_MS);
  for (const signal of ["SIGTERM", "SIGINT"]) {
    process.once(signal, async () => {
      await fleet.stopAll();
      process.exit(NOT_RUN);
    });
  }
  try {
    await fleet.prepare();
    if (fleetOptions?.startsLater !== true) await fleet.startAll();
    const breaches = await play({ fleet, record, isDisturbed });
    for (const breach of breaches) record.write("RULE BROKEN", { what: breach });
    code = breaches.length > 0 ? BROKEN : HELD;
  } catch (error) {
    record.write("the case could not run", { message: error.stack ?? String(error) });
    code = NOT_RUN;
  } finally {
    clearTimeout(watchdog);
    await fleet.stopAll();
  }
  record.write("case ends", { exitCode: code });
  console.log(code === BROKEN ? "rule broken" : code === HELD ? "rule held" : "case could not run");
  process.exit(code);
}
