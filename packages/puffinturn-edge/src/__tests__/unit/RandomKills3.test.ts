/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against tokens that are spent twice after random kills. The seeds are spread over
 * several files, which run in parallel.
 */
import {testRandomKills} from '../utils/KilledEdges';

describe('Tokens of killed edges', () => {
  testRandomKills([8, 9, 10, 11]);
});
