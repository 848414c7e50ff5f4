import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import type * as messages from "./message.ts";
import * as transfers from "./_snapshot_transfer.ts";

/*
 * A replica that is started again in the middle of a snapshot, with or without
 * its disk, holds none of the parts that its former process had confirmed. It
 * answers `received=0` to each part that follows them. The sender passes over
 * any answer that is not above what was confirmed, so the same four parts go
 * out every 600 ms without end, for as long as that leader leads.
 */

const PARTS = 23;
const TERM = 3;
/** Looks at the transfer, each a heartbeat after the one before. */
const ROUNDS = 400;
const HEARTBEAT_MS = 90;

const SNAPSHOT: messages.Snapshot = {
  index: 9,
  term: 2,
  state: Array.from({ length: PARTS }, (_, part) => `part ${part}`),
  voters: ["a", "b", "c"],
};

/** Sends a snapshot to a replica whose process is started again once. */
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
  return { complete: complete, sentParts: sentParts };
}

describe("a snapshot to a replica that is started again meanwhile", () => {
  it("arrives whole, at whichever part the replica was started again", () => {
    for (const restartAtPart of [1, 12, PARTS - 1]) {
      const { complete: complete, sentParts: sentParts } = sendWithRestart(
        restartAtPart,
      );
      chai.expect(
        complete?.snapshot,
        `started again at part ${restartAtPart}, ${sentParts} parts sent`,
      ).to.deep.equal(SNAPSHOT);
    }
  });
});
