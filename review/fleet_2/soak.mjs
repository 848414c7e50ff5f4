import * as fs from "node:fs"; import * as path from "node:path";
import { Fleet, configure, waitReady, sleep, send, PORTS } from "./fleet.mjs";
import * as site from "./site.mjs";
let seed = +process.env.SEED || 1; const rnd = () => { seed = (seed * 1103515245 + 12345) % 2147483648; return seed / 2147483648; };
const pick = (a) => a[Math.floor(rnd() * a.length)];
const fleet = new Fleet({ entries: 6, diskEntries: 3, stores: 4 });
const EV = 18, EB = 16;
const whole = (id) => Array.from({ length: EV }, (_, k) => `${id}.${k + 1}.${"x".repeat(EB)}`).join("\n");
const runs = new Map();
const onLine = (l) => { if (l.what === "run") { const r = runs.get(l.request) ?? []; r.push(l); runs.set(l.request, r); } };
await fleet.startAll();
const bad = []; let servers = []; let over = false; const lots = [];
const say = (...a) => console.log(Date.now() - fleet.startedAt, ...a);
fleet.onUnexpected = (b, c, s) => { bad.push(`exit ${b.name} ${c} ${s}`); setTimeout(() => over || fleet.start(b), 500); };
try {
  await configure(fleet, site.createConfiguration(3));
  servers = await site.startServers(fleet, { engines: 5, plain: 3, engine: { events: EV, eventMs: 60, eventBytes: EB } }, onLine);
  await waitReady(fleet); await sleep(2500);
  const endMs = Date.now() + 80_000;
  const trainer = async (t) => {
    for (let step = 0; Date.now() < endMs; step++) {
      const sub = site.createSubmission({ groups: 6, perGroup: 4, step });
      const lot = { id: site.newId(), sub, answers: [], seen: [], at: Date.now() }; lots.push(lot);
      const until = Date.now() + 12_000;
      for (let k = 0; Date.now() < until; k++) { const a = await site.submit(pick(fleet.entries), lot.id, sub, 3000); lot.answers.push(a.status); if (a.status === 202) { lot.ok = Date.now(); break; } await sleep(200); }
      if (!lot.ok) continue;
      while (Date.now() < lot.ok + 14_000) {
        await read(lot); if (lot.seen.length === 24) break; await sleep(400);
      }
      lot.whole = lot.seen.length;
      if (lot.seen.length < 24) say("not whole", lot.id, lot.seen.length);
      for (let k = 0; k < 10; k++) { const d = await send(`http://${pick(fleet.entries).ip}:${PORTS.front}/lots/${lot.id}`, { method: "DELETE", headers: { host: site.HOST }, timeoutMs: 2000 }); if (d.status === 200) break; if (d.status === 404) bad.push(`end 404 ${lot.id}`); await sleep(200); }
    }
  };
  const read = async (lot) => {
    const e = pick(fleet.entries); const before = lot.seen; const r = await site.readResults(e, lot.id, 0, rnd() < 0.3 ? 500 : 0);
    if (r.status === 404 || r.status === 410) { if (Date.now() - lot.ok > 1000) bad.push(`404 ${lot.id} at ${e.name} ${Date.now() - lot.ok}`); return; }
    if (r.status !== 200) return;
    const p = JSON.parse(r.text); if (p.total !== 24) bad.push("total");
    const got = p.results; 
    for (let i = 0; i < Math.min(got.length, before.length); i++) if (JSON.stringify(got[i]) !== JSON.stringify(before[i])) bad.push(`changed ${lot.id} pos ${i}`);
    if (got.length < before.length) bad.push(`shorter ${lot.id} ${got.length}<${before.length} ${e.name}`);
    if (new Set(got.map((g) => g.id)).size !== got.length) bad.push("twice " + lot.id);
    for (const g of got) if (g.state !== "completed" || g.message !== whole(g.id)) bad.push(`text ${g.id} ${g.state} ${g.message.split("\n").length}`);
    if (got.length > lot.seen.length) lot.seen = got;
  };
  const viewer = async () => { while (Date.now() < endMs) { const l = lots.filter((x) => x.ok); if (l.length) await read(pick(l)); await sleep(60); } };
  const faults = async () => {
    await sleep(3000); let wipedAt = 0;
    while (Date.now() < endMs - 12_000) {
      const k = rnd(); const st = pick(fleet.stores);
      if (k < 0.3) { say("kill", st.name); await fleet.signal(st, "SIGKILL"); await sleep(300 + rnd() * 2500); fleet.start(st); await sleep(rnd() * 4000); }
      else if (k < 0.5) { say("freeze", st.name); fleet.signal(st, "SIGSTOP"); await sleep(500 + rnd() * 2700); fleet.signal(st, "SIGCONT"); await sleep(rnd() * 4000); }
      else if (k < 0.65 && Date.now() - wipedAt > 12_000) { await sleep(4600); say("wipe", st.name); await fleet.signal(st, "SIGKILL"); fs.rmSync(path.join(fleet.folder, "data", st.name), { recursive: true }); await sleep(300 + rnd() * 1500); fleet.start(st); wipedAt = Date.now(); await sleep(5000); }
      else if (k < 0.75) { say("kill all stores"); await Promise.all(fleet.stores.map((s) => fleet.signal(s, "SIGKILL"))); await sleep(300); for (const s of fleet.stores) fleet.start(s); await sleep(4000); }
      else if (k < 0.85) { const e = pick(fleet.entries); say("kill", e.name); await fleet.signal(e, "SIGKILL"); await sleep(500); fleet.start(e); await sleep(1000); }
      else if (k < 0.93) { say("term", st.name); await fleet.signal(st, "SIGTERM"); fleet.start(st); await sleep(rnd() * 3000); }
      else { const i = Math.floor(rnd() * 5); const v = servers[i]; say("crash engine", v.options.id); await v.stop(); await sleep(1000); servers[i] = new site.ServerProcess({ ...v.options, id: "i-" + site.newId().slice(0, 8) }, onLine); await sleep(1500); }
    }
  };
  await Promise.all([trainer(0), trainer(1), viewer(), viewer(), faults()]);
  await sleep(4000);
  for (const l of lots) { if (l.ok) { const n = l.seen.length; for (let k = 0; k < 8; k++) { await read(l); await sleep(30); } }
    else if (l.answers.every((a) => [429, 503, 408, 421].includes(a)) && l.sub.items.some((i) => runs.has(i.id))) bad.push(`refused but run ${l.id}`); }
  say("lots", lots.length, "ok", lots.filter((l) => l.ok).length, "items", lots.reduce((s, l) => s + l.seen.length, 0), "refusedonly", lots.filter((l) => !l.ok).map((l) => l.answers.join()));
} finally { over = true; console.log("BAD", bad.length, bad.slice(0, 20)); await Promise.all(servers.map((s) => s.stop())); await fleet.stopAll(); console.log(fleet.folder); if (!bad.length) fleet.remove(); process.exit(); }
