/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** The proposals of a leader whose entries have not been applied yet. */
import type {Result} from 'neverthrow';
import {err, ok, ResultAsync} from 'neverthrow';

import type {Entry, ProposalFailure} from './LogMessages';

/** A proposal whose entry has not been applied yet. */
interface PendingProposal {
  readonly term: number;
  readonly settle: (outcome: Result<unknown, ProposalFailure>) => void;
}

/** Settles proposals when their entries are applied, or when they can't be followed. */
export class PendingProposals {
  /** By the index of the entry. */
  private readonly proposals = new Map<number, PendingProposal>();

  /** Adds the proposal of an entry; resolves to the result of applying it. */
  add({index, term}: Entry): ResultAsync<unknown, ProposalFailure> {
    return new ResultAsync(
      new Promise((settle) => this.proposals.set(index, {settle, term})),
    );
  }

  /** Settles the proposal at the index of an entry that was applied, if there is one. */
  settle({index, term}: Entry, value: unknown): void {
    const proposal = this.proposals.get(index);
    if (proposal === undefined) {
      return;
    }
    this.proposals.delete(index);
    // An entry of another term has replaced the one that was proposed.
    proposal.settle(
      proposal.term === term ? ok(value) : err(leadershipLostFailure()),
    );
  }

  /** Fails all proposals, as another replica may commit or replace their entries. */
  failAll(failure: ProposalFailure = leadershipLostFailure()): void {
    for (const proposal of this.proposals.values()) {
      proposal.settle(err(failure));
    }
    this.proposals.clear();
  }
}

function leadershipLostFailure(): ProposalFailure {
  return {
    kind: 'leadership-lost',
    message: 'another replica may lead now',
  };
}
