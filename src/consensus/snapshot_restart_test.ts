import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import type * as messages from "./message.ts";
import * as transfers from "./_snapshot_transfer.ts";

/*
 * A replica that restarts during a snapshot transfer has lost the parts that it
 * acknowledged. The sender ignored its lower count and resent the same later
 * parts forever.
 */

const PARTS = 23;
const TERM = 3;
/** Number of heartbeats. */
const ROUNDS = 400;
const HEARTBEAT_MS = 90;

const SNAPSHOT: messages.Snapshot = {
  index: 9,
  term: 2,
  state: Array.from({ length: PARTS }, (_, part) => `part ${part}`),
  voters: ["a", "b", "c"],
};

/** Sends a snapshot to a replica that restarts once, at a given part. */
function sendWithRestart(restartAtPart: number) {
  const clock = new clocks.FakeClock();
  const sent: messages.DriverMessage[] = [];
  const sender = new transfers.SnapshotSender({
    clock,
    send: (_to, message) => sent.push(message),
    createSnapshot: () => SNAPSHOT,
  });
  let receiver = new transfers.SnapshotReceiver();
  let hasRestarted = false;
  let sentParts = 0;
  let complete: messages.SnapshotRequest | undefined;
  for (let round = 0; round < ROUNDS && complete === undefined; round += 1) {
    sender.send("b", TERM);
    for (const message of sent.splice(0)) {
      if (message.kind !== "snapshotPart") continue;
      sentParts += 1;
      if (!hasRestarted && message.part >= restartAtPart) {
        hasRestarted = true;
        receiver = new transfers.SnapshotReceiver();
      }
      const result = receiver.addPart(message);
      complete ??= result.whole;
      sender.handleReply("b", result.reply, TERM);
    }
    clock.advance(HEARTBEAT_MS);
  }
  return { complete, sentParts };
}

describe("snapshot transfer to a replica that restarts", () => {
  it("completes after a restart at any part", () => {
    for (const restartAtPart of [1, 12, PARTS - 1]) {
      const { complete, sentParts } = sendWithRestart(restartAtPart);
      chai.expect(
        complete?.snapshot,
        `restarted at part ${restartAtPart}, ${sentParts} parts sent`,
      ).to.deep.equal(SNAPSHOT);
    }
  });
});
