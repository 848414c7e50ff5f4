import * as http from "node:http";
import type * as net from "node:net";
import * as chai from "chai";
import * as fastCheck from "fast-check";
import * as boxLists from "./box_list_client.ts";

const VALID_ENTRY = {
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
    const invalidEntries = [
      { ...VALID_ENTRY, id: "w-1", state: "resting" },
      { id: "w-2" },
      null,
      "w-3",
    ];
    const list = await read([
      invalidEntries[0],
      VALID_ENTRY,
      ...invalidEntries.slice(1),
    ]);
    if (list.kind === "failure") throw new Error(list.failure.message);
    chai.expect(list.value.servers.map(({ id }) => id)).to.deep.equal(["e-1"]);
    chai.expect(list.value.invalidEntries).to.deep.equal([
      { id: "w-1", field: "state" },
      { id: "w-2", field: "service" },
      { id: "", field: "" },
      { id: "", field: "" },
    ]);
  });

  it("loses no sound entry to nonsense in any field of others", async () => {
    const field = fastCheck.constantFrom(...Object.keys(VALID_ENTRY));
    await fastCheck.assert(
      fastCheck.asyncProperty(
        fastCheck.array(
          fastCheck.tuple(field, fastCheck.jsonValue({ maxDepth: 1 })),
          { maxLength: 4 },
        ),
        async (changes) => {
          const invalidEntries = changes.map(([name, value], index) => ({
            ...VALID_ENTRY,
            id: `w-${index}`,
            [name]: name === "id" ? [value] : value,
          }));
          const list = await read([...invalidEntries, VALID_ENTRY]);
          if (list.kind === "failure") throw new Error(list.failure.message);
          const ids = list.value.servers.map(({ id }) => id);
          chai.expect(ids).to.include("e-1");
        },
      ),
      { seed: 4, numRuns: 100 },
    );
  });
});
