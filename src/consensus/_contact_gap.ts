/** Time in which a remembered gap shrinks to half, in ms. */
const GAP_HALF_LIFE_MS = 2_000;
/** Gaps for which a replica waits before it gives up the other one. */
const GAPS_TO_ALLOW = 2;
/** Longest gap that is remembered, in ms; bounds the addition to a timeout. */
const MAX_GAP_MS = 1_200;

/**
 * Longest recent gap between two messages of a replica. On overloaded boxes gaps
 * can be longer than the election timeout; who remembers them neither deposes a
 * slow leader nor steps down as one, so that leaders do not replace each other.
 * A gap shrinks with time, so that a group recovers its usual timeouts.
 */
export interface ContactGap {
  /** Gap when it was recorded, in ms. */
  readonly gapMs: number;
  /** Monotonic time at which it was recorded, in ms. */
  readonly recordedAtMs: number;
}

/** No gap. */
export const NO_GAP: ContactGap = { gapMs: 0, recordedAtMs: 0 };

/**
 * Returns what is left of a remembered gap.
 *
 * @param gap The gap.
 * @param nowMs Monotonic time, in ms.
 * @returns The gap, in ms.
 */
export function getGapMs(gap: ContactGap, nowMs: number): number {
  const elapsedMs = Math.max(0, nowMs - gap.recordedAtMs);
  return gap.gapMs * 0.5 ** (elapsedMs / GAP_HALF_LIFE_MS);
}

/**
 * Records a gap between two messages.
 *
 * @param gap Longest recent gap so far.
 * @param observedMs The new gap, in ms.
 * @param nowMs Monotonic time, in ms.
 * @returns The longer of both.
 */
export function recordGap(
  gap: ContactGap,
  observedMs: number,
  nowMs: number,
): ContactGap {
  const gapMs = Math.max(
    Math.min(observedMs, MAX_GAP_MS),
    getGapMs(gap, nowMs),
  );
  return { gapMs, recordedAtMs: nowMs };
}

/**
 * Computes the addition to a timeout after gaps. It is 0 while they are at most
 * half the timeout.
 *
 * @param gap Longest recent gap.
 * @param timeoutMs The timeout, in ms.
 * @param nowMs Monotonic time, in ms.
 * @returns The addition, in ms.
 */
export function getExtraMs(
  gap: ContactGap,
  timeoutMs: number,
  nowMs: number,
): number {
  return Math.max(0, GAPS_TO_ALLOW * getGapMs(gap, nowMs) - timeoutMs);
}

/** The newest message of a leader. */
export interface LeaderContact {
  readonly term: number;
  /** Time at which it was sent, on the leader's clock, in ms. */
  readonly sentAtMs: number;
}

/** What a replica remembers of its leaders' messages. */
export interface LeaderContacts {
  /** Newest message of the last leader. */
  readonly last: LeaderContact | undefined;
  /** Newest message of the leader before. */
  readonly former: LeaderContact | undefined;
  /** Longest recent gap between two messages of a leader. */
  readonly gap: ContactGap;
}

/** No message of a leader. */
export const NO_CONTACTS: LeaderContacts = {
  last: undefined,
  former: undefined,
  gap: NO_GAP,
};

/**
 * Records a message of a leader, and the gap since the one before by the leader's
 * clock: a pause of the receiver is none of the leader. The message of a leader
 * that was replaced shows that it was slow and had not failed.
 *
 * @param contacts What was recorded before.
 * @param contact The message.
 * @param nowMs Monotonic time, in ms.
 * @returns The contacts after it.
 */
export function recordContact(
  contacts: LeaderContacts,
  contact: LeaderContact,
  nowMs: number,
): LeaderContacts {
  const { last, former, gap } = contacts;
  if (last === undefined || contact.term > last.term) {
    return { last: contact, former: last, gap };
  }
  const previous = contact.term === last.term ? last : former;
  if (previous?.term !== contact.term) return contacts;
  const gapMs = contact.sentAtMs - previous.sentAtMs;
  if (gapMs <= 0) return contacts;
  const recorded = recordGap(gap, gapMs, nowMs);
  return previous === last
    ? { last: contact, former, gap: recorded }
    : { last, former: contact, gap: recorded };
}
