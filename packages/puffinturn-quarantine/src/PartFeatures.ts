/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Names the parts of a prompt under which upstreams may crash. They are tracked beside the
 * fingerprints of whole requests. Each part is tracked for all teams and for the team of
 * the request, so that a team can't have parts of others quarantined.
 */
import {hash} from 'node:crypto';

import {MAX_PART_ID_LENGTH, MAX_PARTS_PER_REQUEST} from './QuarantineConstants';

/** The parts of a prompt, and who sends it where. */
export interface PromptContent {
  readonly service: string;
  /** The team, or another identifier of the caller. */
  readonly caller: string;
  /** IDs of the parts, in order. */
  readonly partIds: readonly string[];
}

const FEATURE_PREFIX = 'part ';
const HASH_LENGTH = 32;

/**
 * Returns the features of all parts but the last, which is that of the request alone. Each
 * part counts once, whatever its position and however often it is named.
 */
export function partFeaturesOf(prompt: PromptContent): string[] {
  const {caller, partIds, service} = prompt;
  const ids = new Set(partIds.slice(0, -1).slice(0, MAX_PARTS_PER_REQUEST));
  return [...ids].flatMap((id) => {
    const feature = formatFeature([service, shortenId(id)]);
    return [feature, formatFeature([service, shortenId(id), caller])];
  });
}

/** Whether a tracked feature is that of a prompt part. */
export function isPartFeature(feature: string): boolean {
  return feature.startsWith(FEATURE_PREFIX);
}

/**
 * Returns what the features of single teams for the same part begin with; undefined if the
 * feature is that of a single team.
 */
export function teamFeaturePrefix(feature: string): string | undefined {
  const fields = JSON.parse(feature.slice(FEATURE_PREFIX.length)) as string[];
  const isForAllTeams = fields.length === 2;
  return isForAllTeams ? `${feature.slice(0, -1)},` : undefined;
}

function formatFeature(fields: readonly string[]): string {
  return `${FEATURE_PREFIX}${JSON.stringify(fields)}`;
}

function shortenId(id: string): string {
  return id.length <= MAX_PART_ID_LENGTH
    ? id
    : hash('sha256', id).slice(0, HASH_LENGTH);
}
