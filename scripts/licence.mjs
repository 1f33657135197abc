/** Adds the licence header to every source file that lacks it. */
import {readdirSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';

const HEADER = `/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */
`;
for (const name of readdirSync('packages')) {
  const root = join('packages', name, 'src');
  for (const file of readdirSync(root, {recursive: true})) {
    if (!file.endsWith('.ts')) continue;
    const path = join(root, file);
    const text = readFileSync(path, 'utf8');
    if (!/^(#!.*\n+)?\/\*\*\n \* Copyright/.test(text)) {
      const [, shebang = '', rest] = /^(#!.*\n+)?([^]*)$/.exec(text);
      writeFileSync(path, `${shebang}${HEADER}\n${rest}`);
    }
  }
}
