/**
 * Copyright (c) the puffinturn authors.
 *
 * This source code is licensed under the Apache License 2.0 found in the
 * LICENSE file in the root directory of this source tree.
 */

/**
 * Guards against invalid settings that are accepted or throw, duplicate declarations,
 * and secret files that other users can read.
 */
import {chmod, mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import fc from 'fast-check';
import {digestBytes} from 'shared';

import {
  DeclarationSchema,
  findApiKey,
  parseJson,
  readDeclarations,
  readFleetKey,
  SettingsSchema,
  validateValue,
} from '../../index';

describe('declarations and settings', () => {
  test('a problem contains the file, the path, and the actual and expected value', () => {
    const result = validateValue(
      DeclarationSchema,
      {
        kind: 'budget',
        name: 'b',
        number: 1,
        spec: {home: 'north', limit: -5, team: 't'},
      },
      'budgets/b.json',
    );
    const [problem] = result._unsafeUnwrapErr().problems;
    expect(problem).toMatchObject({
      file: 'budgets/b.json',
      found: '-5',
      path: '/spec/limit',
    });
    expect(problem?.wanted).toContain('>=0');
  });

  test('unknown fields are rejected', () => {
    const spec = {home: 'north', limit: 5, limmit: 6, team: 't'};
    const value = {kind: 'budget', name: 'b', number: 1, spec};
    expect(validateValue(DeclarationSchema, value, 'f').isErr()).toBe(true);
  });

  test('validation of any JSON value returns a value or problems and never throws', () => {
    fc.assert(
      fc.property(fc.jsonValue(), (value) => {
        for (const schema of [DeclarationSchema, SettingsSchema]) {
          const result = validateValue(schema, value, 'f');
          expect(result.isOk() || result.error.problems.length > 0).toBe(true);
        }
      }),
      {seed: 1},
    );
  });

  test('parsing of any text returns a value or a failure and never throws', () => {
    fc.assert(
      fc.property(fc.string(), (text) => {
        const parsed = parseJson(Buffer.from(text), 'f');
        expect(parsed.isOk() || parsed.error.kind === 'invalid').toBe(true);
      }),
      {seed: 1},
    );
  });

  // Guards against a rule that comes into force with other characters and refuses nothing.
  test('a file that is no UTF-8 is reported', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'puffinturn-settings-'));
    const file = join(folder, 'policy.json');
    const when = 'model == "caf\xe9"';
    const rule = {action: 'refuse', name: 'r', reason: 'no', when};
    const policy = {kind: 'policy', name: 'p', spec: {rules: [rule]}};
    await writeFile(file, JSON.stringify(policy), 'latin1');
    const result = await readDeclarations(folder);
    await rm(folder, {recursive: true});
    const [problem] = result._unsafeUnwrapErr().problems;
    expect(problem).toMatchObject({
      file,
      found: 'bytes that are no UTF-8',
      path: '/',
    });
  });

  test('a name declared in two files of a folder is reported', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'declarations-'));
    const budget = {
      kind: 'budget',
      name: 'b',
      spec: {home: 'n', limit: 1, team: 't'},
    };
    await writeFile(join(folder, '1.json'), JSON.stringify(budget));
    await writeFile(join(folder, '2.json'), JSON.stringify([budget]));
    const result = await readDeclarations(folder);
    await rm(folder, {recursive: true});
    expect(result._unsafeUnwrapErr().problems[0]?.path).toBe('/name');
  });

  test('a key file that other users can read is rejected', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'keys-'));
    const file = join(folder, 'fleet.key');
    await writeFile(file, 'k'.repeat(40), {mode: 0o600});
    const ownerOnlyResult = await readFleetKey(file);
    await chmod(file, 0o644);
    const readableByOthersResult = await readFleetKey(file);
    await rm(folder, {recursive: true});
    expect(ownerOnlyResult.isOk()).toBe(true);
    expect(readableByOthersResult.isErr()).toBe(true);
  });

  test('keys are found by digest, and the old and new key are both valid in a rotation', () => {
    const keys = ['old', 'new'].map((name) => ({
      name,
      sha256: digestBytes(`secret-${name}`),
    }));
    expect(findApiKey(keys, 'secret-old')?.name).toBe('old');
    expect(findApiKey(keys, 'secret-new')?.name).toBe('new');
    expect(findApiKey(keys, 'secret')).toBeUndefined();
  });
});
