/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against updates that arrive changed, and against event loops that stand still while a
 * large one is decoded.
 */
import {diffConfigurations} from '../../ConfigurationChange';
import {digestOf} from '../../ConfigurationDigest';
import {packUpdate, unpackUpdate} from '../../PackedUpdate';
import {configurationOf, routeOf, teamOf} from '../utils/FleetFixture';

const LARGE = configurationOf(2, {
  routes: Array.from({length: 1_000}, (_, index) =>
    routeOf({pathPrefix: `/${index}/`}),
  ),
  teams: Array.from({length: 500}, (_, index) => teamOf({name: `t${index}`})),
});

describe('A packed update', () => {
  test.each([
    ['small', configurationOf(1)],
    ['large', LARGE],
    ['without routes', configurationOf(1, {routes: []})],
    ['without teams', configurationOf(1, {teams: []})],
    ['without keys', configurationOf(1, {teams: undefined})],
  ])('has the whole configuration (%s)', async (_, configuration) => {
    const update = {configuration, configurationChange: undefined};
    const unpacked = (await unpackUpdate(packUpdate(update)))._unsafeUnwrap();
    expect(unpacked).toEqual(update);
    expect(digestOf(unpacked.configuration ?? configurationOf(9))).toBe(
      digestOf(configuration),
    );
  });

  test('has the whole change', async () => {
    const configurationChange = diffConfigurations(configurationOf(1), LARGE);
    const update = {configuration: undefined, configurationChange};
    const unpacked = (await unpackUpdate(packUpdate(update)))._unsafeUnwrap();
    expect(unpacked).toEqual(update);
  });

  test('lets the event loop run while it is decoded', async () => {
    const update = {configuration: LARGE, configurationChange: undefined};
    let isUnpacked = false;
    void unpackUpdate(packUpdate(update)).then(() => (isUnpacked = true));
    let iterations = 0;
    while (!isUnpacked) {
      await new Promise((resolve) => setImmediate(resolve));
      iterations += 1;
    }
    expect(iterations).toBeGreaterThan(12);
  });

  test.each([
    ['bytes that are not compressed', new Uint8Array([1, 2, 3])],
    ['an empty one', new Uint8Array()],
  ])('is refused if it is damaged (%s)', async (_, bytes) => {
    const result = await unpackUpdate(bytes);
    expect(result._unsafeUnwrapErr().kind).toBe('bad-update');
  });
});
