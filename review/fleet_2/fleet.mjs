/**
 * Starts a small fleet of the project's own processes on loopback addresses, with
 * the commands and the settings template of the deploy file.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import { fileURLToPath } from "node:url";

const HERE = path.dirname(fileURLToPath(import.meta.url));
export const ROOT = path.resolve(HERE, "..", "..");

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Fills a settings template as the deployment pages describe it. */
export function fillTemplate(template, fields) {
  const lookup = (scopes, name) => {
    if (name === ".") return scopes[0].value;
    for (const { value } of scopes) {
      let found = value;
      for (const part of name.split(".")) {
        found = found === null || typeof found !== "object"
          ? undefined
          : found[part];
      }
      if (found !== undefined) return found;
    }
    return undefined;
  };
  const render = (text, scopes) => {
    const block = /\{\{([#^])([^{}]+)\}\}([\s\S]*?)\{\{\/\2\}\}/;
    for (;;) {
      const match = block.exec(text);
      if (match === null) break;
      const [whole, sign, name, inner] = match;
      const value = lookup(scopes, name);
      const isGiven = value !== undefined && value !== false && value !== null;
      const entries = sign === "^"
        ? (isGiven ? [] : [{ value: undefined }])
        : isGiven
        ? (Array.isArray(value) ? value : [value]).map((item) => ({
          value: item,
        }))
        : [];
      const done = entries.map((entry) => render(inner, [entry, ...scopes]));
      text = text.replace(whole, () => done.join(""));
    }
    return text.replace(/\{\{([^{}|]+)(\|json)?\}\}/g, (_, name, asJson) => {
      const value = lookup(scopes, name);
      if (asJson !== undefined) return JSON.stringify(value ?? null);
      if (value === undefined || value === null) return "";
      return typeof value === "object" ? JSON.stringify(value) : String(value);
    });
  };
  return render(template, [{ value: fields }]);
}

/** Reads the command of a role from the deploy file. */
function readRun(role) {
  const text = fs.readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
  const section = text.split(`[roles.${role}]`)[1].split("[roles.")[0];
  return /run = "([^"]+)"/.exec(section)[1].split(" ");
}

function isFree(address, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once("error", () => resolve(false));
    server.listen(port, address, () => server.close(() => resolve(true)));
  });
}

export const PORTS = {
  front: 8144,
  ready: 8140,
  control: 8146,
  directory: 8143,
  peer: 7660,
};

export class Fleet {
  constructor(
    {
      entries = 6,
      diskEntries = 3,
      stores = 3,
      bounds = {},
      zones = ["recife", "fortaleza", "salvador"],
    } = {},
  ) {
    this.options = { entries, diskEntries, stores, bounds, zones };
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), "hoistscale-review-"));
    this.boxes = [];
    this.children = new Map();
    this.unexpected = [];
    this.lines = [];
    this.startedAt = Date.now();
  }

  async layOut() {
    const { zones } = this.options;
    for (let attempt = 0; attempt < 50; attempt += 1) {
      const net2 = `127.${100 + Math.floor(Math.random() * 100)}.${
        1 + Math.floor(Math.random() * 250)
      }`;
      const { entries, diskEntries, stores } = this.options;
      const boxes = [];
      for (let at = 0; at < entries; at += 1) {
        boxes.push({
          name: `frontend-${zones[at % zones.length]}-${Math.floor(at / zones.length) + 1}`,
          ip: `${net2}.${10 + at}`,
          zone: zones[at % zones.length],
          role: "entry",
          hasDisk: at < diskEntries,
        });
      }
      for (let at = 0; at < stores; at += 1) {
        boxes.push({
          name: `storage-${zones[at % zones.length]}-${Math.floor(at / zones.length) + 1}`,
          ip: `${net2}.${50 + at}`,
          zone: zones[at % zones.length],
          role: "store",
          hasDisk: true,
        });
      }
      const checks = await Promise.all(
        boxes.flatMap((box) =>
          [...Object.values(PORTS), 9464].map((port) => isFree(box.ip, port))
        ),
      );
      if (checks.includes(false)) continue;
      this.net = net2;
      this.boxes = boxes;
      return;
    }
    throw new Error("Cannot find free loopback addresses");
  }

  get entries() {
    return this.boxes.filter((box) => box.role === "entry");
  }

  get stores() {
    return this.boxes.filter((box) => box.role === "store");
  }

  settingsOf(box, isFirstStart) {
    const isEntry = box.role === "entry";
    return {
      node: box.name,
      ip: box.ip,
      zone: box.zone,
      region: "nordeste",
      listen: isEntry
        ? {
          front: `${box.ip}:${PORTS.front}`,
          ready: `${box.ip}:${PORTS.ready}`,
          control: `${box.ip}:${PORTS.control}`,
          directory: `${box.ip}:${PORTS.directory}`,
        }
        : {},
      internal_ports: [PORTS.peer, PORTS.peer + 15],
      seeds: this.entries.slice(0, 3).map((entry) =>
        `${entry.ip}:${PORTS.control}`
      ),
      bootstrap: isFirstStart,
      ...(box.hasDisk
        ? { data_directory: path.join(this.folder, "data", box.name) }
        : {}),
      limits: { memory_mb: isEntry ? 200 : 220 },
      tolerate: { machines: 1 },
      heartbeat_ms: 1200,
      bounds: {
        grace_s: 8,
        lease_ms: 3000,
        ttl_max_s: 5,
        status_interval_s: 120,
        ...this.options.bounds,
      },
    };
  }

  start(box, isFirstStart = false) {
    const template = fs.readFileSync(
      path.join(ROOT, "deploy/settings.yaml.tmpl"),
      "utf8",
    );
    const file = path.join(this.folder, `${box.name}.yaml`);
    fs.writeFileSync(
      file,
      fillTemplate(template, this.settingsOf(box, isFirstStart)),
    );
    if (box.hasDisk) {
      fs.mkdirSync(path.join(this.folder, "data", box.name), {
        recursive: true,
      });
    }
    const [command, ...args] = readRun(box.role);
    const child = childProcess.spawn(
      command === "node" ? process.execPath : command,
      args,
      {
        cwd: ROOT,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          HOISTSCALE_CONFIG: file,
        },
        stdio: [
          "ignore",
          fs.openSync(path.join(this.folder, `${box.name}.log`), "a"),
          fs.openSync(path.join(this.folder, `${box.name}.err`), "a"),
        ],
      },
    );
    child.isExpected = false;
    child.done = new Promise((resolve) =>
      child.once("exit", (code, signal) => {
        child.hasEnded = true;
        if (!child.isExpected) {
          this.unexpected.push({
            box: box.name,
            code,
            signal,
            atMs: Date.now() - this.startedAt,
          });
          this.onUnexpected?.(box, code, signal);
        }
        resolve();
      })
    );
    this.children.set(box.name, child);
    return child;
  }

  async startAll() {
    await this.layOut();
    this.startedAt = Date.now();
    for (const box of this.boxes) this.start(box, true);
  }

  signal(box, name) {
    const child = this.children.get(box.name);
    if (name === "SIGKILL" || name === "SIGTERM") child.isExpected = true;
    if (!child.hasEnded) child.kill(name);
    return child.done;
  }

  readLog(box) {
    return fs.readFileSync(path.join(this.folder, `${box.name}.log`), "utf8");
  }

  async stopAll() {
    for (const child of this.children.values()) {
      child.isExpected = true;
      if (!child.hasEnded) {
        child.kill("SIGCONT");
        child.kill("SIGKILL");
      }
    }
    await Promise.all([...this.children.values()].map((child) => child.done));
  }

  remove() {
    fs.rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Sends one request on a new connection; resolves with status 0 on a failure. */
export function send(url, options = {}) {
  const { method = "GET", headers = {}, body, timeoutMs = 5_000 } = options;
  return new Promise((resolve) => {
    let settled = false;
    const settle = (value) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resolve(value);
    };
    const request = http.request(
      url,
      { method, headers, agent: false },
      (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("error", (error) =>
          settle({ status: 0, error: error.message, headers: {} })
        );
        response.on("end", () =>
          settle({
            status: response.statusCode,
            headers: response.headers,
            text: Buffer.concat(chunks).toString(),
          })
        );
      },
    );
    const timer = setTimeout(() => {
      settle({ status: 0, error: "timeout", headers: {} });
      request.destroy();
    }, timeoutMs);
    request.on("error", (error) =>
      settle({ status: 0, error: error.message, headers: {} })
    );
    request.end(body);
  });
}

/** Sends a configuration until it is acknowledged. */
export async function configure(fleet, configuration, limitMs = 15_000) {
  const endMs = Date.now() + limitMs;
  for (let at = 0; Date.now() < endMs; at += 1) {
    const entry = fleet.entries[at % fleet.entries.length];
    const answer = await send(
      `http://${entry.ip}:${PORTS.control}/Configuration.Replace`,
      {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(configuration),
        timeoutMs: 1_000,
      },
    );
    if (answer.status === 200) return true;
    if (answer.status >= 400 && answer.status < 500) {
      throw new Error(`configuration refused: ${answer.text}`);
    }
    await sleep(200);
  }
  return false;
}

/** Waits until all entry boxes say that they are ready. */
export async function waitReady(fleet, limitMs = 20_000) {
  const endMs = Date.now() + limitMs;
  while (Date.now() < endMs) {
    const answers = await Promise.all(
      fleet.entries.map((entry) =>
        send(`http://${entry.ip}:${PORTS.ready}/ready`, { timeoutMs: 1_000 })
      ),
    );
    if (answers.every(({ status }) => status === 200)) return true;
    await sleep(200);
  }
  return false;
}
