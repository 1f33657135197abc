#!/usr/bin/env node
/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Entry point of the command-line tool `puffinturn`. */
import {runCli} from './Cli';

process.exitCode = await runCli(process.argv);
