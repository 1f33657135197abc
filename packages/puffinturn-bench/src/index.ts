/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Benchmarks and simulation experiments. */
export {LatencyHistogram} from './LatencyHistogram';
