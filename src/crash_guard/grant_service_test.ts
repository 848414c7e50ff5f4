import * as chai from "chai";
import * as clocks from "../clock/mod.ts";
import * as crashRecords from "../crash_record/mod.ts";
import * as logs from "../log/mod.ts";
import * as grantServices from "./grant_service.ts";
import * as protocol from "./protocol.ts";

const SERVERS = ["s-1", "s-2", "s-3", "s-4"];

type Handler = (params: unknown) => unknown;

function createRecord(
  ended: readonly string[],
  cleared: readonly string[] = [],
): crashRecords.CrashRecord {
  return {
    digest: "d",
    account: "",
    service: "app",
    target: "/x",
    ended,
    cleared,
    notedAtMs: 0,
  };
}

// Guards against copies of crashing work on several boxes that each crash servers
// up to the limit.
describe("GrantService", () => {
  let clock = new clocks.FakeClock(1_000);
  let methods = new Map<string, Handler>();
  let table = new crashRecords.CrashTable();
  let replicated = new crashRecords.CrashTable();
  let term = 1;
  let hasAuthority = true;
  let service: grantServices.GrantService;

  beforeEach(() => {
    clock = new clocks.FakeClock(1_000);
    methods = new Map();
    table = new crashRecords.CrashTable();
    replicated = new crashRecords.CrashTable();
    term = 1;
    hasAuthority = true;
    service = new grantServices.GrantService({
      clock,
      log: new logs.Log("box", "error", () => {}),
      server: {
        add: (method, handler) => methods.set(method, handler as Handler),
      },
      table,
      machine: { getCrashes: () => replicated },
      group: {
        hasAuthority: () => hasAuthority,
        getTerm: () => term,
        createNotLeader: () => ({ kind: "notLeader", leader: undefined }),
      },
    });
    service.updateTerm();
    clock.advance(10_000);
  });

  function askGrant(
    record: crashRecords.CrashRecord,
    run: string,
    servers: readonly string[],
    mayShare = false,
  ): protocol.GrantReply {
    const request: protocol.GrantRequest = { record, run, servers, mayShare };
    const reply = methods.get(protocol.METHODS.askGrant)?.(request);
    return reply as protocol.GrantReply;
  }

  function getReplyKind(run: string, ended: readonly string[]): string {
    return askGrant(createRecord(ended), run, SERVERS).kind;
  }

  function endGrant(run: string, record: crashRecords.CrashRecord): void {
    const request: protocol.GrantEnd = { run, record };
    methods.get(protocol.METHODS.endGrant)?.(request);
  }

  it("grants one run of the same work at a time", () => {
    chai.expect(getReplyKind("r1", ["i-1"])).to.equal("granted");
    chai.expect(getReplyKind("r2", ["i-1"])).to.equal("busy");
    endGrant("r1", createRecord(["i-1"]));
    chai.expect(getReplyKind("r2", ["i-1"])).to.equal("granted");
  });

  it("repeats a grant whose reply was lost", () => {
    chai.expect(getReplyKind("r1", ["i-1"])).to.equal("granted");
    chai.expect(getReplyKind("r1", ["i-1"])).to.equal("granted");
    chai.expect(getReplyKind("r2", ["i-1"])).to.equal("busy");
  });

  it("counts crashes that the asking box does not know of", () => {
    chai.expect(getReplyKind("r1", ["i-1"])).to.equal("granted");
    endGrant("r1", createRecord(["i-1", "i-2"]));
    chai.expect(getReplyKind("r2", ["i-1"])).to.equal("granted");
    chai.expect(getReplyKind("r3", ["i-1"])).to.equal("busy");
    endGrant("r2", createRecord(["i-1", "i-2", "i-3"]));
    chai.expect(getReplyKind("r4", ["i-1"])).to.equal("barred");
  });

  it("grants further runs of work whose crashes were cleared", () => {
    chai.expect(getReplyKind("r1", ["i-1", "i-2"])).to.equal("granted");
    endGrant("r1", createRecord(["i-1", "i-2"], ["i-1", "i-2"]));
    for (const run of ["r2", "r3", "r4"]) {
      chai.expect(getReplyKind(run, ["i-1"])).to.equal("granted");
      endGrant(run, createRecord(["i-1"]));
    }
  });

  it("expires the grant of a box that reports no end", () => {
    chai.expect(getReplyKind("r1", ["i-1", "i-2"])).to.equal("granted");
    chai.expect(getReplyKind("r2", ["i-1", "i-2"])).to.equal("busy");
    clock.advance(10_001);
    chai.expect(getReplyKind("r2", ["i-1", "i-2"])).to.equal("granted");
  });

  it("grants no last run early in a term, as the previous leader may have", () => {
    chai.expect(getReplyKind("r1", ["i-1", "i-2"])).to.equal("granted");
    term = 2;
    service.updateTerm();
    chai.expect(getReplyKind("r2", ["i-1", "i-2"])).to.equal("busy");
    clock.advance(2_501);
    chai.expect(getReplyKind("r2", ["i-1", "i-2"])).to.equal("granted");
  });

  it("grants each run its own server unless sharing is allowed", () => {
    const other = { ...createRecord(["i-1"]), digest: "e" };
    const third = { ...createRecord(["i-1"]), digest: "f" };
    chai.expect(askGrant(createRecord(["i-1"]), "r1", ["s-1", "s-2"])).to.deep
      .equal({ kind: "granted", server: "s-1" });
    chai.expect(askGrant(other, "r2", ["s-1", "s-2"])).to.deep.equal({
      kind: "granted",
      server: "s-2",
    });
    chai.expect(askGrant(third, "r3", ["s-1", "s-2"]).kind).to.equal("busy");
    chai.expect(askGrant(third, "r4", ["s-1", "s-2"], true).kind).to.equal(
      "granted",
    );
    endGrant("r4", third);
    endGrant("r1", createRecord(["i-1", "i-2"]));
    chai.expect(askGrant(third, "r3", ["s-1", "s-2"]).kind).to.equal("granted");
  });

  it("spreads runs that share servers", () => {
    // Guards against all of them at the server of the run that crashes it.
    const servers = ["s-1", "s-2", "s-3"];
    const granted = Array.from({ length: 6 }, (_, index) => {
      const record = { ...createRecord(["i-1"]), digest: `d${index}` };
      const reply = askGrant(record, `r${index}`, servers, true);
      return reply.kind === "granted" ? reply.server : reply.kind;
    });
    chai.expect(granted).to.deep.equal([...servers, ...servers]);
  });

  it("counts crashes that only the replicated log holds", () => {
    // Guards against a grant by a leader that has just been elected, as after a
    // restart of all boxes.
    replicated.merge(createRecord(["i-1", "i-2", "i-3"]), clock.getWallMs());
    chai.expect(getReplyKind("r1", ["i-4"])).to.equal("barred");
  });

  it("grants nothing while another store box may lead", () => {
    hasAuthority = false;
    chai.expect(getReplyKind("r1", ["i-1"])).to.equal("notLeader");
  });
});
