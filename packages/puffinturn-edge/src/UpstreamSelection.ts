/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Which upstream one request goes to next: those that were not tried for it and
 * bear it, sound ones before grey ones and those that pause, then by the choice of
 * the service's kind. It looks at facts only and sends nothing.
 */
import type {Random} from 'shared';

import type {ColdAdmission} from './ColdStarts';
import type {EdgeUpstream} from './EdgeUpstream';
import type {Exposures} from './Exposures';
import type {Plan} from './RequestPlan';
import type {Placement, UpstreamChoice} from './UpstreamChoice';
import type {UpstreamPool} from './UpstreamPool';
import {greyErrorRate} from './UpstreamPool';

/** What a selection rests on. */
export interface SelectionParts {
  readonly hall: string;
  readonly random: Random;
  readonly pool: UpstreamPool;
  readonly engineChoice: UpstreamChoice;
  readonly plainChoice: UpstreamChoice;
  readonly coldAdmission: ColdAdmission;
  readonly exposures: Exposures;
}

/** Part of the requests that a grey upstream still gets. */
const GREY_PROBES = 0.05;

/** Where a request goes next; undefined where no upstream is left for it. */
export function selectUpstream(
  parts: SelectionParts,
  plan: Plan,
  tried: ReadonlySet<EdgeUpstream>,
): Placement | undefined {
  const serving = parts.pool.serving(plan.service.name);
  const isFirst = tried.size === 0;
  for (const group of parts.exposures.groupsFor(plan, serving, isFirst)) {
    const placement = selectFrom(parts, plan, tried, group);
    if (placement !== undefined) {
      return placement;
    }
  }
  return undefined;
}

function selectFrom(
  parts: SelectionParts,
  plan: Plan,
  tried: ReadonlySet<EdgeUpstream>,
  serving: readonly EdgeUpstream[],
): Placement | undefined {
  const {engineChoice, hall, plainChoice} = parts;
  const {parts: prompt, service} = plan;
  const untried = serving
    .filter((upstream) => !tried.has(upstream))
    .filter((upstream) => mayBear(parts, plan, upstream));
  const calm = untried.filter(({paused}) => !paused);
  const greyAbove = greyErrorRate(serving);
  const sound = calm.filter((upstream) => !avoids(parts, upstream, greyAbove));
  const candidates = [sound, calm, untried].find(({length}) => length > 0);
  if (candidates === undefined) {
    return undefined;
  }
  const choice = service.engine === undefined ? plainChoice : engineChoice;
  return choice.place(candidates, {hall, parts: prompt, service});
}

/** Whether an upstream is warm, or cold and bears one more request. */
function mayBear(
  {coldAdmission}: SelectionParts,
  {service: {coldStart}}: Plan,
  upstream: EdgeUpstream,
): boolean {
  return (
    coldStart === undefined ||
    !upstream.cold ||
    coldAdmission.allows(upstream, coldStart)
  );
}

/** A grey upstream gets few requests, enough to show when it has recovered. */
function avoids(
  {random}: SelectionParts,
  {errorRate}: EdgeUpstream,
  greyAbove: number,
): boolean {
  return errorRate > greyAbove && random.fraction() > GREY_PROBES;
}
