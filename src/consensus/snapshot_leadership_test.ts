import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import type * as messages from "./message.ts";
import * as transfers from "./_snapshot_transfer.ts";

/*
 * When two leaders alternated, each restarted its snapshot transfer from the
 * first part, and the receiver discarded the parts of the other: a wiped replica
 * never got a complete snapshot.
 */

const PARTS = 23;
/** Parts that arrive before leadership changes. */
const PARTS_PER_LEADERSHIP = 15;
const MAX_LEADERSHIPS = 10;
const FIRST_TERM = 9;
const HEARTBEAT_MS = 90;
/** Heartbeats until leadership changes anyway. */
const MAX_ROUNDS = 30;

/** Creates the sender of a leader whose state stays at one index. */
function createSender(
  clock: clocks.Clock,
  index: number,
  send: (message: messages.DriverMessage) => void,
): transfers.SnapshotSender {
  return new transfers.SnapshotSender({
    clock,
    send: (_to, message) => send(message),
    createSnapshot: () => ({
      index,
      term: 2,
      state: Array.from({ length: PARTS }, (_, part) => `${index} ${part}`),
      voters: ["a", "b", "c"],
    }),
  });
}

describe("snapshot transfer under alternating leaders", () => {
  it("resumes where it was interrupted", () => {
    const clock = new clocks.FakeClock();
    const sent: messages.DriverMessage[] = [];
    const senders = [9, 10].map((index) =>
      createSender(clock, index, (message) => sent.push(message))
    );
    const receiver = new transfers.SnapshotReceiver();
    let complete: messages.SnapshotRequest | undefined;
    for (
      let leadership = 0;
      leadership < MAX_LEADERSHIPS && complete === undefined;
      leadership += 1
    ) {
      const sender = senders[leadership % senders.length];
      let remainingParts = PARTS_PER_LEADERSHIP;
      for (
        let round = 0;
        round < MAX_ROUNDS && remainingParts > 0;
        round += 1
      ) {
        sender?.send("b", FIRST_TERM + leadership);
        for (const message of sent.splice(0)) {
          if (message.kind !== "snapshotPart" || remainingParts === 0) continue;
          remainingParts -= 1;
          const result = receiver.addPart(message);
          complete ??= result.whole;
          sender?.handleReply("b", result.reply, FIRST_TERM + leadership);
        }
        clock.advance(HEARTBEAT_MS);
      }
      sender?.pause();
      sent.length = 0;
    }
    chai.expect(complete?.snapshot.state.length).to.equal(PARTS);
  });
});
