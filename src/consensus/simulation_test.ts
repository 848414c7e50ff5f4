import * as uniform from "pure-rand/distribution/uniformInt";
import * as generator from "pure-rand/generator/xoroshiro128plus";
import * as fakeNetworks from "./fake_network_test.ts";
import * as savedRecords from "./_saved_record.ts";
import type * as messages from "./message.ts";
import * as plans from "./plan_replacement_test.ts";
import type * as replicaLogs from "./replica_log.ts";
import * as replicaSets from "./replica_set.ts";
import * as replicaStates from "./replica_state.ts";
import * as simulatedNodes from "./simulated_node_test.ts";
import * as stepReplica from "./step_replica.ts";

const ROUND_MS = 10;
/** Faults strike leaders more often than other replicas, by this factor. */
const LEADER_FACTOR = 4;
const MAX_DRIFT = 50; // deviation of a clock's rate, out of 1,000
const ELECTION_TIMEOUT_MS = 150;
const PER_MILLE = 1_000;
const MAX_SUSPENSION_MS = 6 * ELECTION_TIMEOUT_MS;
const MIN_VOTERS = 3;
/** Chance that a leader that was elected beside another is struck. */
const STRIKE_CHANCE = 300;

/**
 * Runs replicas on a fake network, fake disks and drifting clocks, and checks the
 * invariants of logs, terms and authority.
 */
export class Simulation {
  readonly #options: simulatedNodes.ScheduleOptions;
  readonly #random: ReturnType<typeof generator.xoroshiro128plus>;
  readonly #nodes: readonly simulatedNodes.SimulatedNode[];
  readonly #committedValues = new Map<number, string>();
  readonly #leaderOfTerm = new Map<number, string>();
  readonly #network: fakeNetworks.FakeNetwork;
  #nowMs = 0;
  #proposals = 0;
  #committedSetCount = 0;

  constructor(options: simulatedNodes.ScheduleOptions) {
    this.#options = options;
    this.#random = generator.xoroshiro128plus(options.seed);
    this.#network = new fakeNetworks.FakeNetwork(
      options,
      (max) => this.#draw(max),
    );
    const ids = Array.from(
      { length: options.replicas + options.extraReplicas },
      (_, index) => `r${index}`,
    );
    const voters = ids.slice(0, options.replicas);
    this.#nodes = ids.map((id, index) => this.#createNode(id, index, voters));
    for (const node of this.#nodes) this.#restart(node);
  }

  /**
   * Runs the schedule.
   *
   * @throws Error with the seed, the time and the violated invariant.
   */
  run(): simulatedNodes.ScheduleResult {
    for (let round = 0; round < this.#options.rounds; round += 1) {
      this.#nowMs += ROUND_MS;
      this.#applyFaults();
      this.#deliverMessages();
      for (const node of this.#nodes) this.#tick(node);
      this.#checkAuthority();
    }
    return {
      committed: this.#committedValues.size,
      leaders: this.#leaderOfTerm.size,
      committedSets: this.#committedSetCount,
    };
  }

  #createNode(
    id: string,
    index: number,
    initialVoters: readonly string[],
  ): simulatedNodes.SimulatedNode {
    const clockRate = 1 + (this.#draw(2 * MAX_DRIFT) - MAX_DRIFT) / PER_MILLE;
    return simulatedNodes.createNode({
      config: {
        id,
        voters: [],
        electionTimeoutMs: ELECTION_TIMEOUT_MS,
        heartbeatMs: ELECTION_TIMEOUT_MS / 5,
        maxBatchEntries: 4,
        seed: this.#options.seed * 31 + index,
      },
      clockRate,
      initialVoters,
    });
  }

  #draw(max: number): number {
    return uniform.uniformInt(this.#random, 0, max);
  }

  #happens(chance: number): boolean {
    return this.#draw(PER_MILLE - 1) < chance;
  }

  #applyFaults(): void {
    for (const node of this.#nodes) {
      const factor = node.state?.role.kind === "leader" ? LEADER_FACTOR : 1;
      if (this.#happens(this.#options.crashChance * factor)) {
        node.state = undefined;
      } else if (node.state === undefined && this.#happens(100)) {
        if (this.#happens(this.#options.wipeChance)) this.#wipe(node);
        this.#restart(node);
      }
      if (this.#happens(this.#options.compactChance)) {
        simulatedNodes.compact(node);
      }
      this.#suspend(node, this.#options.suspendChance * factor);
    }
    if (this.#happens(this.#options.partitionChance)) this.#changePartition();
    const { successorChance = 0 } = this.#options;
    if (successorChance > 0) this.#strikeSuccessor(successorChance);
  }

  /**
   * Cuts a leader from some replicas; if another was elected meanwhile, stops it
   * and empties a voter that elected it.
   */
  #strikeSuccessor(chance: number): void {
    const leaders = this.#nodes.filter((node) =>
      node.state?.role.kind === "leader"
    ).toSorted((a, b) => (b.state?.term ?? 0) - (a.state?.term ?? 0));
    const [newest] = leaders;
    if (newest === undefined) return;
    if (leaders.length === 1) {
      if (!this.#happens(chance)) return;
      const peers = this.#nodes.filter((node) =>
        node !== newest && this.#happens(600)
      );
      this.#network.changePartition(
        newest.config.id,
        peers.map((peer) => peer.config.id),
      );
      return;
    }
    if (!this.#happens(STRIKE_CHANCE)) return;
    const electors = this.#nodes.filter((node) =>
      node !== newest && node.state?.votedFor === newest.config.id &&
      node.state.term === newest.state?.term
    );
    const elector = electors[this.#draw(Math.max(0, electors.length - 1))];
    if (elector === undefined) return;
    if (!this.#wipe(elector)) return;
    this.#restart(elector);
    newest.state = undefined;
    this.#network.changePartition(undefined, []);
  }

  #suspend(node: simulatedNodes.SimulatedNode, chance: number): void {
    if (chance === 0 || !this.#happens(chance)) return;
    simulatedNodes.suspend(node, this.#nowMs, this.#draw(MAX_SUSPENSION_MS));
  }

  /** Isolates one replica, cuts one link, or restores all links. */
  #changePartition(): void {
    const leader = this.#nodes.find((node) =>
      node.state?.role.kind === "leader"
    );
    const victim = this.#happens(500) ? leader : this.#pickNode();
    const others = this.#nodes.filter((node) => node !== victim);
    const peers = this.#happens(500) ? others : [this.#pickNode()];
    this.#network.changePartition(
      victim?.config.id,
      peers.map((peer) => peer?.config.id),
    );
  }

  #pickNode(): simulatedNodes.SimulatedNode | undefined {
    return this.#nodes[this.#draw(this.#nodes.length - 1)];
  }

  /** Wipes a disk, unless another wiped replica has not caught up yet; tells if so. */
  #wipe(node: simulatedNodes.SimulatedNode): boolean {
    const lastCommittedIndex = Math.max(0, ...this.#committedValues.keys());
    const others = this.#nodes.filter((other) => other !== node);
    if (others.some((other) => other.wipedAtIndex > other.appliedIndex)) {
      return false;
    }
    node.wipedAtIndex = lastCommittedIndex;
    const { clockStepChance } = this.#options;
    const isStepped = clockStepChance > 0 && this.#happens(clockStepChance);
    node.disk = simulatedNodes.createEmptyDisk(
      isStepped ? this.#draw(this.#nowMs) : this.#nowMs,
    );
    return true;
  }

  #restart(node: simulatedNodes.SimulatedNode): void {
    const { snapshot, records } = node.disk;
    const saved = savedRecords.rebuildReplica(snapshot, records);
    const localMs = simulatedNodes.getLocalMs(node, this.#nowMs);
    node.state = stepReplica.createReplica(node.config, saved, localMs);
    node.applied = (snapshot?.state ?? []) as readonly string[];
    node.appliedIndex = snapshot?.index ?? 0;
    node.appliedTerm = snapshot?.term ?? 0;
  }

  #tick(node: simulatedNodes.SimulatedNode): void {
    this.#step(node, { kind: "tick" });
    if (this.#happens(this.#options.transferChance)) {
      this.#step(node, { kind: "transfer" });
    }
    if (node.state?.role.kind !== "leader") return;
    const { membershipChance } = this.#options;
    if (membershipChance > 0 && this.#happens(membershipChance)) {
      this.#changeVoters(node);
    }
    const { replaceChance = 0 } = this.#options;
    if (replaceChance > 0 && this.#happens(replaceChance)) {
      this.#swapVoters(node);
    }
    if (!this.#happens(300)) return;
    this.#proposals += 1;
    this.#step(node, { kind: "propose", commands: [`c${this.#proposals}`] });
  }

  /** Makes all other replicas learners and adds or removes one voter. */
  #changeVoters(node: simulatedNodes.SimulatedNode): void {
    if (node.state === undefined) return;
    const others = this.#nodes.map((other) => other.config.id)
      .filter((id) => id !== node.config.id);
    this.#step(node, { kind: "setLearners", learners: others });
    if (node.state === undefined) return;
    const voters = replicaStates.listVoters(node.state);
    const id = this.#pickNode()?.config.id ?? "";
    const nextVoters = voters.includes(id)
      ? voters.filter((voter) => voter !== id)
      : [...voters, id];
    if (nextVoters.length < MIN_VOTERS) return;
    this.#step(node, { kind: "changeVoters", voters: nextVoters });
  }

  /** Replaces all emptied voters in one step, as the plan of voters does. */
  #swapVoters(node: simulatedNodes.SimulatedNode): void {
    if (node.state === undefined) return;
    const learners = this.#nodes.map((other) => other.config.id)
      .filter((id) => id !== node.config.id);
    this.#step(node, { kind: "setLearners", learners });
    if (node.state === undefined) return;
    const voters = plans.planReplacement(
      node.state,
      simulatedNodes.getLocalMs(node, this.#nowMs),
      this.#options.replicas,
    );
    if (voters !== undefined) {
      this.#step(node, { kind: "changeVoters", voters });
    }
  }

  #deliverMessages(): void {
    for (const { from, to, message } of this.#network.takeDue(this.#nowMs)) {
      const node = this.#nodes.find((candidate) => candidate.config.id === to);
      if (node !== undefined) {
        this.#step(node, { kind: "message", from, message });
      }
    }
  }

  #step(
    node: simulatedNodes.SimulatedNode,
    event: replicaStates.ReplicaEvent,
  ): void {
    if (node.state === undefined) return;
    if (simulatedNodes.isSuspended(node, this.#nowMs)) return;
    const transition = stepReplica.stepReplica(
      node.state,
      event,
      simulatedNodes.getLocalMs(node, this.#nowMs),
    );
    node.state = transition.state;
    if (!this.#persistEffects(node, transition.effects)) return;
    for (const effect of transition.effects) this.#executeEffect(node, effect);
    this.#checkLeader(node);
  }

  /** Persists the effects; a crash may keep only a part. False after a crash. */
  #persistEffects(
    node: simulatedNodes.SimulatedNode,
    effects: readonly replicaStates.Effect[],
  ): boolean {
    const restore = effects.find((effect) => effect.kind === "restore");
    if (restore !== undefined && node.state !== undefined) {
      node.disk = {
        snapshot: restore.snapshot,
        records: savedRecords.createHeadRecords(node.state),
      };
    }
    const records = effects.flatMap(savedRecords.toRecords);
    if (records.length === 0 || !this.#happens(this.#options.crashChance)) {
      node.disk = { ...node.disk, records: [...node.disk.records, ...records] };
      return true;
    }
    const kept = records.slice(0, this.#draw(records.length));
    node.disk = { ...node.disk, records: [...node.disk.records, ...kept] };
    node.state = undefined;
    return false;
  }

  #executeEffect(
    node: simulatedNodes.SimulatedNode,
    effect: replicaStates.Effect,
  ): void {
    switch (effect.kind) {
      case "saveVote":
      case "saveIdentity":
      case "saveEntries":
        return;
      case "restore":
        node.applied = effect.snapshot.state as readonly string[];
        node.appliedIndex = effect.snapshot.index;
        node.appliedTerm = effect.snapshot.term;
        return;
      case "send":
        return this.#send(node.config.id, effect.to, effect.message);
      case "sendSnapshot":
        return this.#send(node.config.id, effect.to, {
          kind: "snapshotRequest",
          term: node.state?.term ?? 0,
          snapshot: simulatedNodes.createSnapshot(node),
          sentAtMs: simulatedNodes.getLocalMs(node, this.#nowMs),
        });
      case "commit":
        for (const entry of effect.entries) this.#apply(node, entry);
    }
  }

  #send(from: string, to: string, message: messages.Message): void {
    this.#network.send({ from, to, message }, this.#nowMs);
  }

  #apply(node: simulatedNodes.SimulatedNode, entry: replicaLogs.Entry): void {
    if (entry.index <= node.appliedIndex) return;
    const isNext = entry.index === node.appliedIndex + 1;
    this.#assert(isNext, `entry ${entry.index} follows ${node.appliedIndex}`);
    const value = `${entry.term}:${JSON.stringify(entry.command)}`;
    const known = this.#committedValues.get(entry.index);
    this.#assert(
      known === undefined || known === value,
      `entry ${entry.index} is committed as ${known} and as ${value}`,
    );
    if (known === undefined && replicaSets.parseReplicaSet(entry)) {
      this.#committedSetCount += 1;
    }
    this.#committedValues.set(entry.index, value);
    node.applied = [...node.applied, value];
    node.appliedIndex = entry.index;
    node.appliedTerm = entry.term;
  }

  #checkLeader({ state, config: { id } }: simulatedNodes.SimulatedNode): void {
    if (state?.role.kind !== "leader") return;
    const other = this.#leaderOfTerm.get(state.term) ?? id;
    const violation = `term ${state.term} has leaders ${other} and ${id}`;
    this.#assert(other === id, violation);
    this.#leaderOfTerm.set(state.term, id);
  }

  #checkAuthority(): void {
    const { ignoresSuspension = false } = this.#options;
    const holders =
      this.#nodes.filter((node) =>
        simulatedNodes.hasAuthority(node, this.#nowMs, ignoresSuspension)
      ).length;
    this.#assert(holders <= 1, `${holders} replicas have authority at once`);
  }

  #assert(isSatisfied: boolean, violation: string): void {
    if (!isSatisfied) {
      throw new Error(
        `seed ${this.#options.seed}, ${this.#nowMs} ms: ${violation}`,
      );
    }
  }
}
