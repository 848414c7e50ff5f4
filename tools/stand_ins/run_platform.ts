import * as jsonServers from "./json_server.ts";
import * as sleeps from "./sleep.ts";

/** Settings of a platform service, passed as JSON in its first argument. */
export type PlatformSettings =
  | {
    readonly kind: "boxList";
    readonly address: string;
    readonly port: number;
    /** Delay before a change shows in the list, in ms. */
    readonly lagMs: number;
    readonly servers: readonly ListedServer[];
  }
  | {
    readonly kind: "weightStore";
    readonly address: string;
    readonly port: number;
    readonly models: Readonly<Record<string, number>>;
    /** Downloads allowed each second; others are answered with 429. */
    readonly downloadsPerSecond: number;
    /** Duration of a download, in ms. */
    readonly downloadMs: number;
  }
  | {
    readonly kind: "scorer";
    readonly address: string;
    readonly port: number;
    /** Time to score a sample, in ms. */
    readonly scoreMs: number;
  };

/** A backend server in the box list. */
export interface ListedServer {
  readonly id: string;
  readonly state: "live" | "leaving";
}

/** Malformed or incomplete entries, which readers must skip. */
const INVALID_ENTRIES = [
  { id: "w-1", service: "sommelier-lm", state: "live" },
  { id: "w-2", state: "resting", kind: 5 },
  "w-3",
  null,
];

/**
 * Serves the list of backend servers, with a delay. `POST /boxes/ID` sets the
 * state of a server; the state `gone` removes it.
 */
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

/** Lists the latest weight versions and serves downloads up to a rate limit. */
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

/** Scores samples: the shorter, the higher. */
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
