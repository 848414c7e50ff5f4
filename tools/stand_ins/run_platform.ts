import * as jsonServers from "./json_server.ts";
import * as sleeps from "./sleep.ts";

/** What a platform service is told; each is a process of its own. */
export type PlatformSettings =
  | {
    readonly kind: "boxList";
    readonly address: string;
    readonly port: number;
    /** Age of what it tells, in ms. */
    readonly lagMs: number;
    readonly servers: readonly ListedServer[];
  }
  | {
    readonly kind: "weightStore";
    readonly address: string;
    readonly port: number;
    readonly models: Readonly<Record<string, number>>;
    /** Downloads that it allows a second. */
    readonly downloadsPerSecond: number;
    readonly downloadMs: number;
  }
  | {
    readonly kind: "scorer";
    readonly address: string;
    readonly port: number;
    readonly scoreMs: number;
  };

/** A backend server in the box list. */
export interface ListedServer {
  readonly id: string;
  readonly state: "live" | "leaving";
}

/** Entries that name no server to use. */
const INVALID_ENTRIES = [
  { id: "w-1", service: "sommelier-lm", state: "live" },
  { id: "w-2", state: "resting", kind: 5 },
  "w-3",
  null,
];

/** Tells servers late; `POST /boxes/ID` with a state changes one. */
async function runBoxList(
  settings: Extract<PlatformSettings, { kind: "boxList" }>,
): Promise<void> {
  let current = settings.servers;
  let reported = current;
  await jsonServers.startServer(
    settings.address,
    settings.port,
    ({ method, path, json, response }) => {
      if (method === "GET") {
        // Other writers' entries stand beside those of servers.
        return jsonServers.answerJson(response, 200, {
          servers: [...reported, ...INVALID_ENTRIES],
        });
      }
      const id = path.split("/").at(-1);
      current = json["state"] === "gone"
        ? current.filter((server) => server.id !== id)
        : current.map((server) =>
          server.id === id
            ? { ...server, state: json["state"] as "leaving" }
            : server
        );
      const updated = current;
      setTimeout(() => {
        reported = updated;
      }, settings.lagMs);
      jsonServers.answerJson(response, 200, {});
    },
  );
}

/** Publishes versions and lets them be downloaded at a bounded rate. */
async function runWeightStore(
  settings: Extract<PlatformSettings, { kind: "weightStore" }>,
): Promise<void> {
  const latest = new Map(Object.entries(settings.models));
  let remainingDownloads = settings.downloadsPerSecond;
  setInterval(() => {
    remainingDownloads = settings.downloadsPerSecond;
  }, 1_000);
  await jsonServers.startServer(
    settings.address,
    settings.port,
    async ({ method, path, json, response }) => {
      if (method === "POST") {
        const model = String(json["model"]);
        latest.set(
          model,
          Math.max(latest.get(model) ?? 0, Number(json["weightVersion"])),
        );
        return jsonServers.answerJson(response, 200, {});
      }
      if (path === "/v1/models") {
        const models = [...latest].map(([model, weightVersion]) => ({
          model,
          weightVersion,
        }));
        return jsonServers.answerJson(response, 200, { models });
      }
      if (remainingDownloads <= 0) {
        return jsonServers.answerJson(response, 429, {});
      }
      remainingDownloads -= 1;
      await sleeps.sleep(settings.downloadMs);
      jsonServers.answerJson(response, 200, {});
    },
  );
}

/** Scores a sample by its length. */
async function runScorer(
  settings: Extract<PlatformSettings, { kind: "scorer" }>,
): Promise<void> {
  await jsonServers.startServer(
    settings.address,
    settings.port,
    async ({ json, response }) => {
      await sleeps.sleep(settings.scoreMs);
      const { length } = (json["tokens"] ?? []) as readonly number[];
      jsonServers.answerJson(response, 200, { score: 1 / (1 + length) });
    },
  );
}

function runPlatform(settings: PlatformSettings): Promise<void> {
  switch (settings.kind) {
    case "boxList":
      return runBoxList(settings);
    case "weightStore":
      return runWeightStore(settings);
    case "scorer":
      return runScorer(settings);
  }
}

await runPlatform(JSON.parse(process.argv[2] ?? "{}") as PlatformSettings);
