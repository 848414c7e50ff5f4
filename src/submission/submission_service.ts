import type * as clocks from "../clock/mod.ts";
import type * as csp from "../csp/mod.ts";
import type * as heldBytes from "../held_bytes/mod.ts";
import type * as logs from "../log/mod.ts";
import type * as replicaGroups from "../replica_group/mod.ts";
import type * as results from "../results/mod.ts";
import type * as rpc from "../rpc/mod.ts";
import * as accessChecks from "./can_access.ts";
import * as largeProposals from "./_large_proposals.ts";
import * as resultPages from "./build_result_page.ts";
import * as protocol from "./protocol.ts";
import type * as commands from "./submission_command.ts";
import type * as stateMachines from "./submission_state_machine.ts";

/** Timeout of a commit, in ms; below the second after which callers retry. */
const COMMIT_TIMEOUT_MS = 900;
/** Maximum silence of a voter that counts as available, in ms. */
const MAX_VOTER_SILENCE_MS = 1_000;
/**
 * Timeout for a follower to apply what its leader has committed, in ms. Covers
 * several heartbeats, which carry the commit index.
 */
const CATCH_UP_TIMEOUT_MS = 300;
/** Maximum silence of a voter that reads are redirected to, in ms. */
const MAX_READER_SILENCE_MS = 400;

/** Options of a submission service. */
export interface SubmissionServiceOptions {
  readonly clock: clocks.Clock;
  readonly log: logs.Log;
  readonly memoryGuard: Pick<heldBytes.MemoryGuard, "hasRoomFor">;
  readonly server: rpc.MethodRegistry;
  readonly group: replicaGroups.ReplicaGroup;
  readonly barrier: replicaGroups.ReadBarrier;
  /** Failure domain of each known box, by id. */
  readonly getFailureDomain: (id: string) => string | undefined;
  /** Id of this box. */
  readonly id: string;
  readonly stateMachine: stateMachines.SubmissionStateMachine;
  /** Notified when the state machine has changed. */
  readonly stateChanged: csp.Signal;
  /** Target number of voters. */
  readonly wantedVoters: number;
  /** Ids of the running store boxes that are not being retired. */
  readonly listStoreIds: () => readonly string[];
}

/** Serves the RPC methods of the store boxes for submissions. */
export class SubmissionService {
  readonly #options: SubmissionServiceOptions;
  readonly #largeProposals: largeProposals.LargeProposals;

  constructor(options: SubmissionServiceOptions) {
    this.#options = options;
    this.#largeProposals = new largeProposals.LargeProposals({
      ...options,
      awaitMs: COMMIT_TIMEOUT_MS,
      propose: (submission) =>
        this.#propose({ kind: "acceptSubmission", submission }),
    });
    const { server } = options;
    server.add(
      protocol.METHODS.accept,
      (request: protocol.AcceptRequest) => this.#accept(request),
    );
    server.add(
      protocol.METHODS.read,
      (request: protocol.ReadRequest) => this.#read(request),
    );
    server.add(
      protocol.METHODS.readBody,
      (request: protocol.ReadBodyRequest) => this.#readBody(request),
    );
    server.add(
      protocol.METHODS.end,
      (request: protocol.EndRequest) => this.#end(request),
    );
    server.add(
      protocol.METHODS.nameVersion,
      (request: protocol.NameVersionRequest) => this.#nameVersion(request),
    );
    server.add(
      protocol.METHODS.retire,
      (request: protocol.RetireRequest) => this.#retire(request),
    );
    server.add(
      protocol.METHODS.readRetire,
      (request: protocol.RetireRequest) => this.#readRetire(request),
    );
  }

  async #accept(
    request: protocol.AcceptRequest,
  ): Promise<protocol.LeaderReply<null>> {
    const { submission } = request;
    const reply = largeProposals.isLarge(submission)
      ? await this.#largeProposals.accept(submission)
      : await this.#propose({ kind: "acceptSubmission", submission });
    this.#options.log.write("info", "submission.accepted", {
      submission: submission.id,
      items: submission.items.length,
      step: submission.step,
      minimumVersion: submission.minimumVersion,
      outcome: reply.kind,
    });
    return toEmptyReply(reply);
  }

  async #read(
    request: protocol.ReadRequest,
  ): Promise<protocol.LeaderReply<protocol.ReadReply>> {
    const { group, stateChanged: changed, clock } = this.#options;
    const endMs = clock.getMonotonicMs() + request.waitMs;
    const known = this.#readNewResults(request);
    if (known !== undefined) return known;
    const isLeading = group.hasAuthority();
    if (!isLeading && !await this.#canReadAsFollower(request)) {
      return this.#readNewResults(request) ?? group.createNotLeader();
    }
    for (;;) {
      if (isLeading && !group.hasAuthority()) return group.createNotLeader();
      const record = this.#findRecord(request);
      if (record === undefined) return { kind: "unknown" };
      const leftMs = endMs - clock.getMonotonicMs();
      const hasNewResults = record.results.length > request.after;
      if (hasNewResults || leftMs <= 0 || record.isEnded) {
        return { kind: "done", value: this.#createPage(record, request) };
      }
      await changed.wait(clock, leftMs);
    }
  }

  /**
   * Reads results beyond those that the sender has. Results keep their positions, so
   * any replica can answer this, however old its state; that there are none, or no
   * such submission, only the leader knows.
   */
  #readNewResults(
    request: protocol.ReadRequest,
  ): protocol.LeaderReply<protocol.ReadReply> | undefined {
    const record = this.#findRecord(request);
    if (record === undefined || record.results.length <= request.after) {
      return undefined;
    }
    return { kind: "done", value: this.#createPage(record, request) };
  }

  #createPage(
    record: stateMachines.SubmissionRecord,
    { after, failureDomain }: protocol.ReadRequest,
  ): protocol.ReadReply {
    const page = resultPages.buildResultPage(record, after);
    return { page, nearReplica: this.#findReplicaIn(failureDomain) };
  }

  /** Finds a submission that the sender may access. */
  #findRecord(
    { id, sender }: Pick<protocol.ReadRequest, "id" | "sender">,
  ): stateMachines.SubmissionRecord | undefined {
    const record = this.#options.stateMachine.get(id);
    if (record === undefined) return undefined;
    return accessChecks.canAccess(sender, record.submission)
      ? record
      : undefined;
  }

  /** Tells whether this replica can answer a read as a follower. */
  async #canReadAsFollower(
    { mayFollow }: protocol.ReadRequest,
  ): Promise<boolean> {
    return mayFollow &&
      await this.#options.barrier.awaitLeaderState(CATCH_UP_TIMEOUT_MS);
  }

  /** Finds a responsive voter, or this box, in a failure domain. */
  #findReplicaIn(failureDomain: string): string | undefined {
    const { group, getFailureDomain, id } = this.#options;
    if (getFailureDomain(id) === failureDomain) return id;
    const voters = group.listVoters();
    return group.getStatus()?.followers.find((follower) =>
      getFailureDomain(follower.id) === failureDomain &&
      voters.includes(follower.id) && follower.isAdmitted &&
      follower.silentMs < MAX_READER_SILENCE_MS
    )?.id;
  }

  #readBody(
    request: protocol.ReadBodyRequest,
  ): protocol.LeaderReply<string> {
    const { group } = this.#options;
    if (!group.hasAuthority()) return group.createNotLeader();
    const record = this.#findRecord(request);
    const item = record?.submission.items.find((other) =>
      other.id === request.item
    );
    if (item === undefined) return { kind: "unknown" };
    return { kind: "done", value: item.body };
  }

  async #end(
    request: protocol.EndRequest,
  ): Promise<protocol.LeaderReply<null>> {
    const reply = await this.#propose({
      kind: "endSubmission",
      id: request.id,
      sender: request.sender,
    });
    this.#options.log.write("info", "submission.ended", {
      submission: request.id,
      listed: this.#options.stateMachine.get(request.id)?.results.length,
      outcome: reply.kind,
    });
    return toEmptyReply(reply);
  }

  async #nameVersion(
    request: protocol.NameVersionRequest,
  ): Promise<protocol.LeaderReply<null>> {
    const reply = await this.#propose({ kind: "nameVersion", ...request });
    this.#options.log.write("info", "version.named", {
      model: request.model,
      version: request.version,
      outcome: reply.kind,
    });
    return toEmptyReply(reply);
  }

  async #retire(
    request: protocol.RetireRequest,
  ): Promise<protocol.LeaderReply<protocol.RetireState>> {
    const {
      group,
      listStoreIds: listStores,
      wantedVoters,
      stateMachine: machine,
    } = this.#options;
    if (!group.hasAuthority()) return group.createNotLeader();
    const { box } = request;
    const remaining = listStores().filter((id) => id !== box);
    const isRetiring = machine.listRetiring().includes(box);
    if (!isRetiring && remaining.length < wantedVoters) {
      return { kind: "done", value: "tooFewLeft" };
    }
    const reply = await this.#propose({ kind: "retireBox", box });
    return reply.kind === "done" ? { kind: "done", value: "running" } : reply;
  }

  /**
   * Reads the state of a retirement. It is completed once a committed voter set
   * without the box is complete and caught up: the box is then removed, and with
   * an uncommitted set one more lost disk could leave no quorum.
   */
  #readRetire(
    request: protocol.RetireRequest,
  ): protocol.LeaderReply<protocol.RetireState> {
    const { group, stateMachine: machine, wantedVoters } = this.#options;
    const status = group.getStatus();
    if (status === undefined || !group.hasAuthority()) {
      return group.createNotLeader();
    }
    if (!machine.listRetiring().includes(request.box)) {
      return { kind: "unknown" };
    }
    const voterSet = group.getVoterSet();
    if (voterSet === undefined || !voterSet.isCommitted) {
      return { kind: "done", value: "running" };
    }
    const { voters } = voterSet;
    const caughtUp = status.followers.filter((follower) =>
      voters.includes(follower.id) && follower.isAdmitted &&
      follower.matchIndex >= status.commitIndex &&
      follower.silentMs < MAX_VOTER_SILENCE_MS
    );
    const isCompleted = !voters.includes(request.box) &&
      caughtUp.length + 1 >= wantedVoters;
    return { kind: "done", value: isCompleted ? "completed" : "running" };
  }

  async #propose(
    command: commands.SubmissionCommand,
  ): Promise<protocol.LeaderReply<commands.SubmissionAnswer>> {
    const { group } = this.#options;
    if (!group.hasAuthority()) return group.createNotLeader();
    const result = await group.propose<commands.SubmissionAnswer>(
      command,
      COMMIT_TIMEOUT_MS,
    );
    return toReply(result);
  }
}

function toReply(
  result: results.Result<commands.SubmissionAnswer>,
): protocol.LeaderReply<commands.SubmissionAnswer> {
  if (result.kind === "ok") {
    if (!result.value.isKnown) return { kind: "unknown" };
    return { kind: "done", value: result.value };
  }
  if (result.failure.code === "notLeader") {
    return {
      kind: "notLeader",
      leader: undefined,
      reason: { kind: "lostLead" },
    };
  }
  return { kind: "unsure", mayHaveRun: result.failure.outcome !== "notRun" };
}

function toEmptyReply<T>(
  reply: protocol.LeaderReply<T>,
): protocol.LeaderReply<null> {
  return reply.kind === "done" ? { kind: "done", value: null } : reply;
}
