/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Files with secrets, and keys that are stored as digests only. */
import type {KeyObject} from 'node:crypto';
import {createSecretKey, timingSafeEqual} from 'node:crypto';
import {readFile, stat} from 'node:fs/promises';

import {err, ok, ResultAsync} from 'neverthrow';
import {describeError, digestBytes} from 'shared';

import type {CheckFailure} from './Checked';
import {checkFailure} from './Checked';
import type {HashedKey} from './DeclarationSchema';

const OTHERS_MAY_ACCESS = 0o077;
const MIN_SECRET_LENGTH = 32;

function secretProblem(file: string, found: string, wanted: string) {
  return checkFailure([{file, found, path: '/', wanted}]);
}

/** Reads a secret; a file that other users may read is refused. */
export function readSecret(file: string): ResultAsync<Buffer, CheckFailure> {
  const read = Promise.all([stat(file), readFile(file)]);
  return ResultAsync.fromPromise(read, (error) =>
    secretProblem(file, describeError(error), 'a readable file'),
  ).andThen(([{mode}, content]) =>
    (mode & OTHERS_MAY_ACCESS) === 0
      ? ok(content)
      : err(
          secretProblem(
            file,
            `mode ${(mode & 0o777).toString(8)}`,
            'a file that only its owner may access (chmod 600)',
          ),
        ),
  );
}

/** Reads the key that all boxes of a fleet share. */
export function readFleetKey(
  file: string,
): ResultAsync<KeyObject, CheckFailure> {
  return readSecret(file).andThen((content) => {
    const text = content.toString('utf8').trim();
    return text.length < MIN_SECRET_LENGTH
      ? err(
          secretProblem(file, 'a short key', `${MIN_SECRET_LENGTH} characters`),
        )
      : ok(createSecretKey(Buffer.from(text)));
  });
}

/** The stored key that `presented` belongs to, compared in constant time. */
export function findKey(
  keys: readonly HashedKey[],
  presented: string,
): HashedKey | undefined {
  const digest = Buffer.from(digestBytes(presented), 'hex');
  let found: HashedKey | undefined;
  for (const key of keys) {
    if (timingSafeEqual(digest, Buffer.from(key.sha256, 'hex'))) {
      found = key;
    }
  }
  return found;
}
