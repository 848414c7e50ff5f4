import * as events from "node:events";
import type * as http from "node:http";
import type * as net from "node:net";
import * as chai from "chai";
import * as connectionGuards from "./connection_guard.ts";

/** A connection that tells when it is closed. */
class FakeSocket extends events.EventEmitter {
  isClosed = false;
  /** Named as in Node. */
  readonly destroy = () => {
    this.isClosed = true;
    this.emit("close");
  };
}

function toSocket(socket: FakeSocket): net.Socket {
  return socket as unknown as net.Socket;
}

function createExchange(socket: FakeSocket): connectionGuards.Exchange {
  const request = { socket } as unknown as http.IncomingMessage;
  return { request, response: {} as http.ServerResponse };
}

// Guards against a crowd of connections that takes the descriptors of a process, and
// against callers in progress that have to give way to it.
describe("connection guard", () => {
  let closed: connectionGuards.ClosingReason[];
  let guard: connectionGuards.ConnectionGuard;

  beforeEach(() => {
    closed = [];
    guard = new connectionGuards.ConnectionGuard((reason) =>
      closed.push(reason)
    );
    guard.limit({ maxConnections: 3 });
  });

  function connect(): FakeSocket {
    const socket = new FakeSocket();
    guard.add(toSocket(socket));
    return socket;
  }

  /** Connects a caller that has had an answer and is at rest. */
  function connectProven(): FakeSocket {
    const socket = connect();
    const exchange = createExchange(socket);
    guard.admitRequest(exchange);
    guard.takeNextRequest(exchange.request);
    return socket;
  }

  it("closes first a connection that never had a request answered", () => {
    const proven = connectProven();
    const silent = connect();
    const busy = connect();
    guard.admitRequest(createExchange(busy));
    const newest = connect();
    chai.expect([proven, silent, busy, newest].map(({ isClosed }) => isClosed))
      .to.deep.equal([false, true, false, false]);
    chai.expect(closed).to.deep.equal(["share"]);
  });

  it("closes the one at rest for longest, if all had a request answered", () => {
    const first = connectProven();
    const second = connectProven();
    const third = connectProven();
    guard.admitRequest(createExchange(first));
    guard.takeNextRequest(createExchange(first).request);
    connect();
    chai.expect([first, second, third].map(({ isClosed }) => isClosed))
      .to.deep.equal([false, true, false]);
  });

  it("closes the newest, if each other has a request", () => {
    const busy = [connect(), connect(), connect()];
    for (const socket of busy) guard.admitRequest(createExchange(socket));
    const newest = connect();
    chai.expect(newest.isClosed).to.equal(true);
    chai.expect(busy.some(({ isClosed }) => isClosed)).to.equal(false);
    chai.expect(guard.getCount()).to.equal(3);
  });

  it("begins the requests of a connection one after the other", () => {
    const socket = connect();
    const [first, second, third] = [1, 2, 3].map(() => createExchange(socket));
    if (!first || !second || !third) throw new Error("no exchange");
    chai.expect(guard.admitRequest(first)).to.equal(true);
    chai.expect(guard.admitRequest(second)).to.equal(false);
    chai.expect(guard.admitRequest(third)).to.equal(false);
    chai.expect(guard.takeNextRequest(first.request)).to.equal(second);
    chai.expect(guard.takeNextRequest(second.request)).to.equal(third);
    chai.expect(guard.takeNextRequest(third.request)).to.equal(undefined);
    chai.expect(socket.isClosed).to.equal(false);
  });

  it("closes a connection with too many requests behind one another", () => {
    const socket = connect();
    for (let count = 0; count < 18; count += 1) {
      guard.admitRequest(createExchange(socket));
    }
    chai.expect(socket.isClosed).to.equal(true);
    chai.expect(closed).to.deep.equal(["pipelined"]);
    chai.expect(guard.getCount()).to.equal(0);
  });
});
