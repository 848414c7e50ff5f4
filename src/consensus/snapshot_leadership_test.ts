import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import type * as messages from "./message.ts";
import * as transfers from "./_snapshot_transfer.ts";

/*
 * A snapshot is sent anew, from its first part, by each leader, also by one that led
 * before: who loses the lead forgets its transfers, and the receiver forgets its parts
 * with the first of another transfer. On real processes with a third of a core two
 * leaders took turns, terms 9 to 18, each for 0.5 to 2 s; an emptied voter was sent
 * seven snapshots of 265 to 276 parts ("snapshotSent ... index=1756 parts=265", then
 * 1763, 1763, 1774, 1774, 1781) and held nothing after 20 s (lastIndex=0). The next
 * lost disk left one voter of three, and no store led again.
 */

const PARTS = 23;
/** Parts that arrive in one reign. */
const PARTS_PER_LEADERSHIP = 15;
const MAX_LEADERSHIPS = 10;
const FIRST_TERM = 9;
const HEARTBEAT_MS = 90;
const MAX_ROUNDS = 30;

/** A leader whose state has not changed since it led last. */
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

describe("a snapshot to a replica whose leaders take turns", () => {
  it("goes on where it was left", () => {
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
        let round = 0; round < MAX_ROUNDS && remainingParts > 0; round += 1
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
