import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import type * as messages from "./message.ts";
import * as transfers from "./_snapshot_transfer.ts";

/*
 * A fixed window of four parts made a large snapshot take longer over a slow link
 * than any leader lasted there.
 */

const PARTS = 265;
const ROUND_TRIPS = 24;
const ROUND_TRIP_MS = 200;

describe("snapshot transfer over a slow link", () => {
  it("completes in few round trips by growing its window", () => {
    const clock = new clocks.FakeClock();
    const state = Array.from({ length: PARTS }, (_, part) => `part ${part}`);
    let sent: messages.DriverMessage[] = [];
    const sender = new transfers.SnapshotSender({
      clock,
      send: (_to, message) => sent.push(message),
      createSnapshot: () => ({ index: 9, term: 2, state, voters: ["a"] }),
    });
    const receiver = new transfers.SnapshotReceiver();
    let complete: messages.SnapshotRequest | undefined;
    sender.send("b", 3);
    for (let trip = 0; trip < ROUND_TRIPS; trip += 1) {
      clock.advance(ROUND_TRIP_MS);
      const arrived = sent;
      sent = [];
      const replies = arrived.flatMap((message) => {
        if (message.kind !== "snapshotPart") return [];
        const result = receiver.addPart(message);
        complete ??= result.whole;
        return [result.reply];
      });
      for (const reply of replies) sender.handleReply("b", reply, 3);
    }
    chai.expect(complete?.snapshot.state.length).to.equal(PARTS);
  });
});
