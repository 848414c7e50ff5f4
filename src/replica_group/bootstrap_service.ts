import type * as rpc from "../rpc/mod.ts";
import * as groupFoundings from "./_group_founding.ts";
import type * as foundingAcceptors from "./founding_acceptor.ts";
import * as messages from "./founding_message.ts";

export { chooseInitialVoters } from "./_choose_initial_voters.ts";
export type { BootstrapReply, BootstrapRequest } from "./founding_message.ts";

/** Options of a `BootstrapService`. */
export interface BootstrapServiceOptions
  extends groupFoundings.GroupFoundingOptions {
  readonly server: rpc.MethodRegistry;
  readonly isFirstStart: boolean;
}

/**
 * A seed's part in choosing the initial voters of each replica group, once per
 * deployment: it collects requests, proposes voters to all seeds and accepts what
 * others propose. A majority of the seeds decides. After a restart of its box it
 * refuses, as it may have forgotten what it accepted.
 */
export class BootstrapService {
  readonly #options: BootstrapServiceOptions;
  readonly #groups = new Map<string, groupFoundings.GroupFounding>();

  constructor(options: BootstrapServiceOptions) {
    this.#options = options;
    const { server } = options;
    server.add(
      messages.BOOTSTRAP_METHOD,
      (request: messages.BootstrapRequest) => this.handleRequest(request),
    );
    server.add(
      messages.PREPARE_METHOD,
      (request: messages.PrepareRequest) => this.prepare(request),
    );
    server.add(
      messages.ACCEPT_METHOD,
      (request: messages.AcceptRequest) => this.accept(request),
    );
  }

  /**
   * Handles a request for the initial voters of a group. Once they are chosen,
   * every request gets the same answer.
   */
  handleRequest(request: messages.BootstrapRequest): messages.BootstrapReply {
    if (!this.#options.isFirstStart) return { kind: "refused" };
    return this.#getGroup(request.group).handleRequest(request);
  }

  /** Handles a seed's request to promise a ballot. */
  prepare(
    { group, ballot }: messages.PrepareRequest,
  ): foundingAcceptors.PrepareReply {
    if (!this.#options.isFirstStart) return { kind: "refused" };
    return this.#getGroup(group).acceptor.prepare(ballot);
  }

  /** Handles a seed's request to accept the founding of a ballot. */
  accept(
    { group, ballot, founding }: messages.AcceptRequest,
  ): foundingAcceptors.AcceptReply {
    if (!this.#options.isFirstStart) return { kind: "refused" };
    return this.#getGroup(group).acceptor.accept(ballot, founding);
  }

  #getGroup(name: string): groupFoundings.GroupFounding {
    const known = this.#groups.get(name);
    if (known !== undefined) return known;
    const created = new groupFoundings.GroupFounding(name, this.#options);
    this.#groups.set(name, created);
    return created;
  }
}
