/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/** Reads secret files and finds API keys by their digests. */
import type {KeyObject} from 'node:crypto';
import {createSecretKey, timingSafeEqual} from 'node:crypto';
import {readFile, stat} from 'node:fs/promises';

import {err, ok, ResultAsync} from 'neverthrow';
import {describeError, digestBytes} from 'shared';

import type {HashedApiKey} from './DeclarationSchema';
import type {ValidationFailure} from './Validation';
import {createValidationFailure} from './Validation';

/** File mode bits that grant access to users other than the owner. */
const GROUP_AND_OTHER_MODE_BITS = 0o077;
const MIN_SECRET_LENGTH = 32;

function createSecretFailure(file: string, found: string, wanted: string) {
  return createValidationFailure([{file, found, path: '/', wanted}]);
}

/** Reads a secret file; fails if users other than the owner have access to it. */
export function readSecret(
  file: string,
): ResultAsync<Buffer, ValidationFailure> {
  const read = Promise.all([stat(file), readFile(file)]);
  return ResultAsync.fromPromise(read, (error) =>
    createSecretFailure(file, describeError(error), 'a readable file'),
  ).andThen(([{mode}, content]) =>
    (mode & GROUP_AND_OTHER_MODE_BITS) === 0
      ? ok(content)
      : err(
          createSecretFailure(
            file,
            `mode ${(mode & 0o777).toString(8)}`,
            'a file that only its owner may access (chmod 600)',
          ),
        ),
  );
}

/** Reads the secret key shared by all boxes of the fleet. */
export function readFleetKey(
  file: string,
): ResultAsync<KeyObject, ValidationFailure> {
  return readSecret(file).andThen((content) => {
    const text = content.toString('utf8').trim();
    return text.length < MIN_SECRET_LENGTH
      ? err(
          createSecretFailure(
            file,
            'a key that is too short',
            `at least ${MIN_SECRET_LENGTH} characters`,
          ),
        )
      : ok(createSecretKey(Buffer.from(text)));
  });
}

/** Finds the stored key that matches `presented`; the comparison takes constant time. */
export function findApiKey(
  keys: readonly HashedApiKey[],
  presented: string,
): HashedApiKey | undefined {
  const digest = Buffer.from(digestBytes(presented), 'hex');
  let match: HashedApiKey | undefined;
  for (const key of keys) {
    if (timingSafeEqual(digest, Buffer.from(key.sha256, 'hex'))) {
      match = key;
    }
  }
  return match;
}
