/**
 * Starts one box with two stand-in engines and a stand-in service on loopback,
 * and prints an example request. All files are written to .data/quickstart.
 */
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';

import {Daemon, createLogger, waitUntilReady} from 'puffinturn-daemon';
import {
  validateValue,
  DeclarationSchema,
  readSettings,
} from 'puffinturn-settings';
import {Engine, PlainService} from 'puffinturn-stand-in';
import {digestBytes} from 'shared';
import {request} from 'undici';

const DIRECTORY = join('.data', 'quickstart');
const CALLER_PORT = 7080;
const OPERATOR_PORT = 7081;
const LINK_PORT = 7082;
const READY_TIMEOUT_MS = 20_000;
const TEAM_KEY = 'pt-quickstart-team';
const OPERATOR_KEY = 'pt-quickstart-operator';

function exitWithError(message) {
  process.stderr.write(`${message}\n`);
  process.exit(1);
}

function unwrap(result) {
  return result.isOk() ? result.value : exitWithError(result.error.message);
}

function writeSettings() {
  mkdirSync(DIRECTORY, {mode: 0o700, recursive: true});
  const fleetKeyFile = join(DIRECTORY, 'fleet.key');
  writeFileSync(fleetKeyFile, 'quickstart-only-'.repeat(4), {mode: 0o600});
  writeFileSync(join(DIRECTORY, 'operator.key'), OPERATOR_KEY, {mode: 0o600});
  const file = join(DIRECTORY, 'settings.json');
  const settings = {
    box: 'box-1',
    callers: {host: '127.0.0.1', port: CALLER_PORT},
    dataFolder: 'data',
    fleet: {
      boxes: [
        {
          control: true,
          hall: 'hall-1',
          host: '127.0.0.1',
          name: 'box-1',
          port: LINK_PORT,
          region: 'local',
        },
      ],
      keyFile: 'fleet.key',
      primaryRegion: 'local',
    },
    limits: {drainNoticeMs: 0},
    logs: {format: 'pretty', level: 'warn'},
    operators: {
      host: '127.0.0.1',
      keys: [{name: 'quickstart', sha256: digestBytes(OPERATOR_KEY)}],
      port: OPERATOR_PORT,
    },
  };
  writeFileSync(file, JSON.stringify(settings, null, 2));
  return file;
}

function buildDeclarations(engines, service) {
  const template = readFileSync(
    'examples/quickstart/declarations.json',
    'utf8',
  );
  const text = template
    .replace('ENGINE_1', engines[0].url)
    .replace('ENGINE_2', engines[1].url)
    .replace('SERVICE_1', service.url)
    .replace('TEAM_KEY_SHA256', digestBytes(TEAM_KEY));
  return JSON.parse(text);
}

/** Sends each declaration, numbered one above its current version. */
async function applyDeclarations(declarations) {
  const headers = {
    authorization: `Bearer ${OPERATOR_KEY}`,
    'content-type': 'application/json',
  };
  const baseUrl = `http://127.0.0.1:${OPERATOR_PORT}`;
  const configResponse = await request(`${baseUrl}/v1/config`, {headers});
  const {entries} = await configResponse.body.json();
  for (const declaration of declarations) {
    const current = entries.find(
      ({declaration: {kind, name}}) =>
        kind === declaration.kind && name === declaration.name,
    );
    const number = (current?.declaration.number ?? 0) + 1;
    const body = unwrap(
      validateValue(DeclarationSchema, {...declaration, number}, 'quickstart'),
    );
    const response = await request(`${baseUrl}/v1/declarations`, {
      body: JSON.stringify(body),
      headers,
      method: 'POST',
    });
    if (response.statusCode !== 200) {
      exitWithError(await response.body.text());
    }
    await response.body.dump();
  }
}

const engines = [await new Engine().listen(), await new Engine().listen()];
const service = await new PlainService().listen();
const settings = unwrap(await readSettings(writeSettings()));
const daemon = unwrap(await Daemon.start(settings, createLogger(settings)));
const stopped = new Promise((resolve) => {
  process.once('SIGINT', resolve);
  process.once('SIGTERM', resolve);
});
await applyDeclarations(buildDeclarations(engines, service));
unwrap(await waitUntilReady(daemon, READY_TIMEOUT_MS));

process.stdout.write(`
puffinturn is ready: callers on 127.0.0.1:${CALLER_PORT}, operators on 127.0.0.1:${OPERATOR_PORT}

  curl -N http://127.0.0.1:${CALLER_PORT}/v1/chat/completions \\
    -H 'Authorization: Bearer ${TEAM_KEY}' -H 'Content-Type: application/json' \\
    -d '{"model":"demo","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}'

  npx puffinturn budget --key-file ${join(DIRECTORY, 'operator.key')}

Ctrl-C stops everything.
`);

await stopped;
await daemon.stop(new AbortController().signal);
await daemon[Symbol.asyncDispose]();
for (const server of [...engines, service]) {
  await server[Symbol.asyncDispose]();
}
process.stdout.write('stopped\n');
process.exit(0);
