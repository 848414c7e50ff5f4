// The configuration of a small deployment: one service of engines, one plain service.
export const HOST = "ficu95.example";
export const MODEL = "daka510000";
export const SECOND_MODEL = "rada7437b5";
export const ENGINES = "huvo11a";
export const PLAIN = "wuno96b";
export const ROLLOUT_PREFIX = "/pule252/";
export const PLAIN_PREFIX = "/pufi791/";
export const BODY_BYTES = 33_554_432;

export function createConfiguration(version, { keepS = 40 } = {}) {
  return {
    version,
    routes: [
      {
        name: "r-rollout", host: HOST, path_prefix: ROLLOUT_PREFIX, kind: "rollout", timeout_ms: 10000,
        target_latency_ms: 400, target_completion_ms: 7500, keep_s: keepS, priority: 0, service: ENGINES, attempts: 3,
      },
      {
        name: "r-plain", host: HOST, path_prefix: PLAIN_PREFIX, kind: "idempotent", timeout_ms: 2000,
        target_latency_ms: 186, priority: 2, service: PLAIN, attempts: 4,
      },
    ],
    services: [
      {
        name: ENGINES, health_path: "/health", connection_limit: 170, protocol: "h1", tls: false,
        engine: {
          slots: 12, kv_cache_tokens: 36982, kv_token_bytes: 327680, link_mbps: 1400000.0, moves: true, backups: true,
          stride: 54, most: 12, pin_ms: 4000.0, hold_ms: 2000.0, handle_s: 5.0, models: [{ name: MODEL }, { name: SECOND_MODEL }],
        },
      },
      { name: PLAIN, health_path: "/health", connection_limit: 110, protocol: "h1", tls: false },
    ],
    limits: { header_bytes: 16384, body_bytes: BODY_BYTES, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
  };
}
