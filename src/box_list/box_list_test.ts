import * as http from "node:http";
import type * as net from "node:net";
import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as boxLists from "./box_list_client.ts";

const SOUND = {
  id: "e-1",
  service: "lm",
  kind: "language",
  address: "127.0.0.1",
  port: 9,
  failureDomain: "d",
  state: "live",
};

describe("box list", () => {
  let body = "";
  const server = http.createServer((_request, response) => response.end(body));

  before((done) => {
    server.listen(0, "127.0.0.1", done);
  });

  after(() => {
    server.closeAllConnections();
    server.close();
  });

  function read(entries: readonly unknown[]) {
    body = JSON.stringify({ servers: entries });
    const { port } = server.address() as net.AddressInfo;
    return new boxLists.BoxListClient(`http://127.0.0.1:${port}`).readServers();
  }

  it("reads the other entries beside one that names no server", async () => {
    // One entry of another writer, with a state that is none, had the whole list
    // left unread: no server that came or left was noted until it was gone.
    const wrong = [
      { ...SOUND, id: "w-1", state: "resting" },
      { id: "w-2" },
      null,
      "w-3",
    ];
    const list = await read([wrong[0], SOUND, ...wrong.slice(1)]);
    if (list.kind === "failure") throw new Error(list.failure.message);
    chai.expect(list.value.servers.map(({ id }) => id)).to.deep.equal(["e-1"]);
    chai.expect(list.value.unread).to.deep.equal([
      { id: "w-1", field: "state" },
      { id: "w-2", field: "service" },
      { id: "", field: "" },
      { id: "", field: "" },
    ]);
  });

  it("loses no sound entry to nonsense in any field of others", async () => {
    const field = fastCheck.constantFrom(...Object.keys(SOUND));
    await fastCheck.assert(
      fastCheck.asyncProperty(
        fastCheck.array(
          fastCheck.tuple(field, fastCheck.jsonValue({ maxDepth: 1 })),
          { maxLength: 4 },
        ),
        async (changes) => {
          const others = changes.map(([name, value], index) => ({
            ...SOUND,
            id: `w-${index}`,
            [name]: name === "id" ? [value] : value,
          }));
          const list = await read([...others, SOUND]);
          if (list.kind === "failure") throw new Error(list.failure.message);
          const ids = list.value.servers.map(({ id }) => id);
          chai.expect(ids).to.include("e-1");
        },
      ),
      { seed: 4, numRuns: 100 },
    );
  });
});
