import * as http from "node:http";
import type * as net from "node:net";
import * as chai from "chai";
import * as endToEndHeaders from "./_end_to_end_headers.ts";
import * as rawListeners from "./_raw_listener.ts";

describe("toEndToEndHeaders", () => {
  it("drops headers of one connection, also those that it names", () => {
    const headers = endToEndHeaders.toEndToEndHeaders({
      receipt: "r",
      connection: "close, X-Hop",
      "keep-alive": "timeout=5",
      "x-hop": "1",
      trailer: "x-sum",
      te: "trailers",
      upgrade: "h2c",
      "proxy-authenticate": "Basic",
      "proxy-connection": "close",
      "transfer-encoding": "chunked",
      "content-length": "4",
      "content-type": "text/plain",
    });
    chai.expect(headers).to.deep.equal({
      receipt: "r",
      "content-type": "text/plain",
    });
  });

  // Guards against an answer that announces a trailer, which is never delivered
  // after the server ran the request.
  it("lets an answer with a trailer be delivered", async () => {
    const backend = http.createServer((_request, response) => {
      response.writeHead(200, { receipt: "r", trailer: "x-sum" });
      response.write("body");
      response.addTrailers({ "x-sum": "1" });
      response.end();
    });
    await listen(backend);
    const received = await fetch(getUrl(backend));
    const body = Buffer.from(await received.arrayBuffer());
    const box = http.createServer((_request, response) =>
      rawListeners.writeAnswer(response, {
        status: received.status,
        headers: endToEndHeaders.toEndToEndHeaders(
          Object.fromEntries(received.headers),
        ),
        body,
      })
    );
    await listen(box);
    const answer = await fetch(getUrl(box));
    chai.expect(await answer.text()).to.equal("body");
    chai.expect(answer.headers.get("receipt")).to.equal("r");
    for (const server of [backend, box]) server.closeAllConnections();
    for (const server of [backend, box]) server.close();
  });
});

function listen(server: http.Server): Promise<void> {
  return new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
}

function getUrl(server: http.Server): string {
  return `http://127.0.0.1:${(server.address() as net.AddressInfo).port}/`;
}
