/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Guards against edges that hold a version with other content than the control boxes have. */
import {diffConfigurations} from 'puffinturn-fleet';

import {makeConfiguration} from '../utils/EdgeFixture';
import {TestEdge} from '../utils/TestEdge';

const ORIGIN = {box: 'c1', delayMs: 5};

test('A difference that leads to other content is discarded and asked for in full', async () => {
  await using fixture = await TestEdge.open();
  const {edge, log} = fixture;
  const [first, second, third] = [1, 2, 3].map((version) =>
    makeConfiguration(version),
  );
  edge.applyConfiguration(first!, ORIGIN);
  const sound = diffConfigurations(first!, second!);
  edge.applyConfigurationChange({...sound, digest: 0}, ORIGIN);
  expect([edge.configurationVersion, edge.baseVersion]).toEqual([1, -Infinity]);
  expect(log.decisions.at(-1)).toMatchObject({
    event: 'configuration-mismatch',
    expectedDigest: 0,
    source: 'c1',
    version: 2,
  });
  edge.applyConfiguration(second!, ORIGIN);
  expect([edge.configurationVersion, edge.baseVersion]).toEqual([2, 2]);
  edge.applyConfigurationChange(diffConfigurations(second!, third!), ORIGIN);
  expect(edge.configurationVersion).toBe(3);
  const {digest: _, ...withoutDigest} = diffConfigurations(third!, first!);
  edge.applyConfigurationChange({...withoutDigest, version: 4}, ORIGIN);
  expect(edge.configurationVersion).toBe(4);
});
