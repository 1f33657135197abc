/**
 * Starts an example on loopback: `npm run example -- cascadia` (or valtrebbia).
 * Each box is one process, and all stand-ins share one.
 */
import {spawn} from 'node:child_process';
import {mkdirSync, readdirSync, readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {request} from 'undici';

const name = process.argv[2] ?? 'cascadia';
const exampleDirectory = join('examples', name);
const dataDirectory = join('.data', name);
const READY_TIMEOUT_MS = 40_000;

mkdirSync(dataDirectory, {mode: 0o700, recursive: true});
writeFileSync(join(dataDirectory, 'fleet.key'), `example-${name}-`.repeat(4), {
  mode: 0o600,
});
writeFileSync(join(dataDirectory, 'operator.key'), `pt-${name}-operator`, {
  mode: 0o600,
});

const children = [];

function startProcess(file, ...args) {
  const child = spawn(process.execPath, [file, ...args], {
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  children.push(child);
  return new Promise((resolve) => child.once('exit', resolve));
}

function runCli(...args) {
  const cli = join('packages', 'puffinturn-cli', 'dist', 'main.js');
  const child = spawn(process.execPath, [cli, ...args], {stdio: 'inherit'});
  return new Promise((resolve) => child.once('exit', resolve));
}

async function waitUntilReady(url) {
  const deadline = Date.now() + READY_TIMEOUT_MS;
  while (Date.now() < deadline) {
    const response = await request(url).catch(() => undefined);
    await response?.body.dump();
    if (response?.statusCode === 200) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  throw new Error(`${url} is not ready`);
}

const settingsFiles = readdirSync(join(exampleDirectory, 'settings')).map(
  (file) => join(exampleDirectory, 'settings', file),
);
const settings = settingsFiles.map((file) =>
  JSON.parse(readFileSync(file, 'utf8')),
);
const exits = [
  startProcess(
    'packages/puffinturn-stand-in/dist/main.js',
    join(exampleDirectory, 'stand-ins.json'),
  ),
  ...settingsFiles.map((file) =>
    startProcess('packages/puffinturn-daemon/dist/main.js', file),
  ),
];
process.on('SIGINT', () => {});
process.once('SIGTERM', () => children.forEach((child) => child.kill()));

const operatorUrl = `http://127.0.0.1:${settings[0].operators.port}`;
await waitUntilReady(`${operatorUrl}/healthz`);
const cliOptions = [
  '--url',
  operatorUrl,
  '--key-file',
  join(dataDirectory, 'operator.key'),
];
await runCli(
  'apply',
  '-f',
  join(exampleDirectory, 'declarations'),
  ...cliOptions,
);
for (const {callers} of settings) {
  await waitUntilReady(`http://127.0.0.1:${callers.port}/readyz`);
}
const ports = settings.map(({callers}) => callers.port).join(', ');
process.stdout.write(`
${name} is ready: callers on 127.0.0.1 ports ${ports}
  npx puffinturn status ${cliOptions.join(' ')}
Ctrl-C stops everything.
`);
await Promise.all(exits);
